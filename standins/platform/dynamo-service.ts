/**
 * DynamoDB's JSON API over rows in memory.
 *
 * Idempotency by ClientRequestToken, indexes, deletes and updates are not implemented. Queries of
 * the hosts partition lag as the platform's host list does.
 */
/* eslint-disable @typescript-eslint/naming-convention -- the names are DynamoDB's. */
import type {z} from 'zod';
import type {Clock} from '../../src/common/services/services.js';
import {maximumItemBytes, maximumPageBytes} from './constants.js';
import {DynamoError} from './dynamo-error.js';
import {parseExpression, satisfies, type AttributeMap} from './dynamo-expressions.js';
import {
	createTableSchema, describeTableSchema, getItemSchema, putItemSchema, querySchema, transactWriteItemsSchema,
	type PutRequest, type QueryRequest,
} from './dynamo-schemas.js';
import type {AccessKind} from './fault-injector.js';
import {LaggedValues} from './lagged-values.js';
import {OrderedRows} from './ordered-rows.js';
import type {InjectedFaults} from './settings.js';

/** One operation whose request was validated. */
export type DynamoOperation = {
	readonly access: AccessKind;
	/** Number of items that it reads or writes, as counted by the rate limit. */
	readonly count: number;
	/** Runs the operation and returns the body of the answer; throws a DynamoError. */
	readonly run: () => unknown;
};

type DynamoTableState = {
	readonly name: string;
	readonly partitionKey: string;
	readonly sortKey: string;
	readonly rows: OrderedRows<AttributeMap>;
	readonly hosts: LaggedValues<AttributeMap>;
};

const maximumLagMs = 10 * 60_000;
/** Attribute that holds the time after which the platform deletes an item, in seconds since 1970. */
const expiryAttribute = 'expiresAt';

/** The tables of one platform. */
export class DynamoService {
	private readonly _clock: Clock;
	private readonly _faults: InjectedFaults;
	private readonly _hostsPartition: string;
	private readonly _tables = new Map<string, DynamoTableState>();

	private readonly _operations: Readonly<Record<string, (body: string) => DynamoOperation>> = {
		GetItem: body => {
			const request = parse(getItemSchema, body);
			return {access: 'read', count: 1, run: () => ({Item: this._get(request.TableName, request.Key)})};
		},
		PutItem: body => {
			const request = parse(putItemSchema, body);
			return {access: 'write', count: 1, run: () => this._putItem(request)};
		},
		Query: body => {
			const request = parse(querySchema, body);
			return {access: 'read', count: 1, run: () => this._query(request)};
		},
		TransactWriteItems: body => {
			const puts = parse(transactWriteItemsSchema, body).TransactItems.map(item => item.Put);
			return {access: 'write', count: puts.length, run: () => this._transact(puts)};
		},
		CreateTable: body => {
			const request = parse(createTableSchema, body);
			return {access: 'write', count: 1, run: () => this._create(request)};
		},
		DescribeTable: body => {
			const request = parse(describeTableSchema, body);
			return {access: 'read', count: 1, run: () => ({Table: describe(this._table(request.TableName))})};
		},
	};

	constructor(clock: Clock, faults: InjectedFaults, hostsPartition: string) {
		this._clock = clock;
		this._faults = faults;
		this._hostsPartition = hostsPartition;
	}

	/** Creates a table; a table that exists stays unchanged. */
	createTable(name: string, partitionKey: string, sortKey: string): void {
		if (!this._tables.has(name)) {
			this._tables.set(name, {
				name, partitionKey, sortKey, rows: new OrderedRows(), hosts: new LaggedValues(maximumLagMs),
			});
		}
	}

	/** Parses a request into an operation; throws a DynamoError if the operation is unknown or the request is invalid. */
	prepare(operation: string, body: string): DynamoOperation {
		const prepareOperation = this._operations[operation];
		if (!prepareOperation) {
			throw new DynamoError('UnknownOperationException', operation);
		}

		return prepareOperation(body);
	}

	private _table(name: string): DynamoTableState {
		const table = this._tables.get(name);
		if (!table) {
			throw new DynamoError('ResourceNotFoundException', `no table ${name}`);
		}

		return table;
	}

	private _create(request: z.infer<typeof createTableSchema>): unknown {
		if (this._tables.has(request.TableName)) {
			throw new DynamoError('ResourceInUseException', `table ${request.TableName} exists`);
		}

		const keyOf = (type: string): string => request.KeySchema.find(key => key.KeyType === type)?.AttributeName ?? '';
		this.createTable(request.TableName, keyOf('HASH'), keyOf('RANGE'));
		return {TableDescription: describe(this._table(request.TableName))};
	}

	private _get(tableName: string, key: AttributeMap): AttributeMap | undefined {
		const table = this._table(tableName);
		return this._current(table, textOf(key, table.partitionKey), textOf(key, table.sortKey));
	}

	private _current(table: DynamoTableState, partition: string, sort: string): AttributeMap | undefined {
		const item = table.rows.get(partition, sort);
		if (item && this._isExpired(item)) {
			table.rows.delete(partition, sort);
			return undefined;
		}

		return item;
	}

	private _isExpired(item: AttributeMap): boolean {
		const expiresAtSeconds = Number(item[expiryAttribute]?.N ?? Infinity);
		return expiresAtSeconds * 1000 < this._clock.wallClockMs();
	}

	private _putItem(request: PutRequest): unknown {
		const failure = this._conditionFailure(request);
		if (failure) {
			throw new DynamoError('ConditionalCheckFailedException', 'The conditional request failed', {fields: failure});
		}

		this._store(request);
		return {};
	}

	/** Checks the condition of a put; returns undefined if it holds, otherwise the fields that the error carries about the current item. */
	private _conditionFailure(request: PutRequest): {readonly Item?: AttributeMap} | undefined {
		const current = this._get(request.TableName, request.Item);
		if (request.ConditionExpression === undefined) {
			return undefined;
		}

		const comparisons = parseExpression(request.ConditionExpression, placeholdersOf(request));
		if (satisfies(current, comparisons)) {
			return undefined;
		}

		return request.ReturnValuesOnConditionCheckFailure === 'ALL_OLD' && current ? {Item: current} : {};
	}

	private _store({TableName: tableName, Item: item}: PutRequest): void {
		if (JSON.stringify(item).length > maximumItemBytes) {
			throw new DynamoError('ValidationException', 'item size exceeds the limit');
		}

		const table = this._table(tableName);
		const partition = textOf(item, table.partitionKey);
		const sort = textOf(item, table.sortKey);
		table.rows.set(partition, sort, item);
		if (partition === this._hostsPartition) {
			table.hosts.write(sort, item, this._clock.nowMs());
		}
	}

	private _transact(puts: readonly PutRequest[]): unknown {
		const failures = puts.map(put => this._conditionFailure(put));
		if (failures.some(clash => clash !== undefined)) {
			const reasons = failures.map(clash => clash ? {Code: 'ConditionalCheckFailed', ...clash} : {Code: 'None'});
			throw new DynamoError('TransactionCanceledException', 'Transaction cancelled', {fields: {CancellationReasons: reasons}});
		}

		for (const put of puts) {
			this._store(put);
		}

		return {};
	}

	private _query(request: QueryRequest): unknown {
		const table = this._table(request.TableName);
		const comparisons = parseExpression(request.KeyConditionExpression, placeholdersOf(request));
		const partition = comparisons.find(({attribute, operator}) => attribute === table.partitionKey && operator === '=')?.value?.S;
		if (partition === undefined) {
			throw new DynamoError('ValidationException', 'the key condition names no partition');
		}

		if (comparisons.some(({value}) => value?.S === '')) {
			throw new DynamoError('ValidationException', 'a key attribute cannot be an empty string');
		}

		const afterSort = request.ExclusiveStartKey ? textOf(request.ExclusiveStartKey, table.sortKey) : '';
		const items: AttributeMap[] = [];
		let sizeBytes = 0;
		for (const item of this._rowsAfter(table, partition, afterSort)) {
			if (items.length === request.Limit || sizeBytes > maximumPageBytes) {
				const last = items.at(-1)!;
				const key = {[table.partitionKey]: last[table.partitionKey], [table.sortKey]: last[table.sortKey]};
				return {Items: items, Count: items.length, LastEvaluatedKey: key};
			}

			if (!this._isExpired(item) && satisfies(item, comparisons)) {
				items.push(item);
				sizeBytes += JSON.stringify(item).length;
			}
		}

		return {Items: items, Count: items.length};
	}

	private _rowsAfter(table: DynamoTableState, partition: string, afterSort: string): Iterable<AttributeMap> {
		if (partition !== this._hostsPartition) {
			return table.rows.after(partition, afterSort);
		}

		const visible = table.hosts.readAt(this._clock.nowMs() - this._faults.hostListLagMs);
		return [...visible]
			.filter(([sort]) => sort > afterSort)
			.toSorted(([a], [b]) => a < b ? -1 : 1)
			.map(([, change]) => change.value);
	}
}

function parse<T>(schema: z.ZodType<T>, body: string): T {
	let json: unknown;
	try {
		json = JSON.parse(body);
	} catch {
		throw new DynamoError('SerializationException', 'not JSON');
	}

	const result = schema.safeParse(json);
	if (!result.success) {
		throw new DynamoError('ValidationException', result.error.message);
	}

	return result.data;
}

function placeholdersOf(request: PutRequest | QueryRequest): {names: Record<string, string>; values: AttributeMap} {
	return {names: request.ExpressionAttributeNames, values: request.ExpressionAttributeValues};
}

function textOf(item: AttributeMap, attribute: string): string {
	const text = item[attribute]?.S;
	if (!text) {
		throw new DynamoError('ValidationException', `key attribute ${attribute} is missing or empty`);
	}

	return text;
}

function describe(table: DynamoTableState): unknown {
	return {
		TableName: table.name,
		TableStatus: 'ACTIVE',
		KeySchema: [
			{AttributeName: table.partitionKey, KeyType: 'HASH'},
			{AttributeName: table.sortKey, KeyType: 'RANGE'},
		],
	};
}
