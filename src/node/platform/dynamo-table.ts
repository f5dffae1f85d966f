/**
 * The platform's table service over DynamoDB's API.
 *
 * An item holds the attributes partition, sort, revision, changeId, body and optionally
 * expiresAt. Expressions use placeholders for these names, because some are reserved words.
 * Every write is conditional on the expected revision and on the change not having been made
 * yet. A refused write returns the item that caused the refusal: if the same change wrote that
 * item, the answer to an earlier attempt was lost and the write counts as done. If another
 * change has replaced the item since, this can no longer be detected; a caller that writes
 * items which others replace has to detect it from their content.
 */
import {
	DynamoDBClient, GetItemCommand, PutItemCommand, QueryCommand, TransactWriteItemsCommand,
	ConditionalCheckFailedException, TransactionCanceledException,
	type CancellationReason, type Put,
} from '@aws-sdk/client-dynamodb';
import {Left, Right, type Either} from 'purify-ts';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {
	Clock, Log, Metrics, PlatformFault, Table, TableItem,
} from '../../common/services/services.js';
import {clientOptions} from './client-options.js';
import {eventuallyConsistentPartitions, maximumPageItems} from './constants.js';
import {DateHeaderClock} from './date-header-clock.js';
import {
	decodeItem, encodeItem, keyAttributes, type Attributes,
} from './item-attributes.js';
import {PlatformCalls} from './platform-calls.js';
import {faultOf, faultOfCancellation} from './platform-faults.js';
import type {PlatformSettings} from './settings.js';
import type {PlatformTime} from './types.js';

type Write = {readonly item: Omit<TableItem, 'revision'>; readonly expectedRevision: number};

/** One page of a query's result. */
type Page = {readonly items: readonly TableItem[]; readonly next: Attributes | undefined};

/** Client of the table that the settings name. */
export class DynamoTable implements Table, PlatformTime, Disposable {
	private readonly _client: DynamoDBClient;
	private readonly _tableName: string;
	private readonly _calls: PlatformCalls;
	private readonly _platformClock: DateHeaderClock;

	constructor(settings: PlatformSettings, clock: Clock, log: Log, metrics: Metrics) {
		this._client = new DynamoDBClient(clientOptions(settings, settings.tableEndpoint));
		this._tableName = settings.table;
		this._calls = new PlatformCalls({name: 'table', timeoutMs: settings.requestTimeoutMs}, clock, log, metrics);
		this._platformClock = new DateHeaderClock(clock);
		this._client.middlewareStack.add(next => async args => {
			const result = await next(args);
			this._platformClock.note(result.response);
			return result;
		}, {step: 'deserialize', priority: 'low', name: 'platformClock'});
	}

	platformNowMs(): number | undefined {
		return this._platformClock.nowMs();
	}

	async get(partition: string, sort: string): Promise<Either<PlatformFault, TableItem | undefined>> {
		return this._calls.run('get', async abortSignal => {
			/* eslint-disable @typescript-eslint/naming-convention -- the service's names. */
			const command = new GetItemCommand({
				TableName: this._tableName,
				Key: keyAttributes(partition, sort),
				ConsistentRead: !eventuallyConsistentPartitions.has(partition),
			});
			/* eslint-enable @typescript-eslint/naming-convention */
			const output = await this._client.send(command, {abortSignal});
			return Right(output.Item && decodeItem(output.Item));
		});
	}

	async query(partition: string, afterSort: string, limit: number): Promise<Either<PlatformFault, readonly TableItem[]>> {
		return this._calls.run('query', async abortSignal => {
			const items: TableItem[] = [];
			let next: Attributes | undefined = afterSort === '' ? undefined : keyAttributes(partition, afterSort);
			do {
				// The service ends a page early at its size limit.
				const page: Page = await this._queryPage(partition, next, limit - items.length, abortSignal);
				items.push(...page.items);
				next = page.next;
			} while (next && items.length < limit);

			return Right(items);
		});
	}

	async put(item: Omit<TableItem, 'revision'>, expectedRevision: number): Promise<Either<PlatformFault, TableItem>> {
		return this._calls.run('put', async abortSignal => {
			const next: TableItem = {...item, revision: expectedRevision + 1};
			try {
				await this._client.send(new PutItemCommand(this._putInput(next, expectedRevision)), {abortSignal});
				return Right(next);
			} catch (error) {
				return resolvePut(error, item.changeId);
			}
		});
	}

	async putAll(writes: readonly Write[]): Promise<Either<PlatformFault, void>> {
		return this._calls.run('putAll', async abortSignal => {
			const puts = writes.map(({item, expectedRevision}) =>
				this._putInput({...item, revision: expectedRevision + 1}, expectedRevision));
			const command = new TransactWriteItemsCommand({TransactItems: puts.map(put => ({Put: put}))}); // eslint-disable-line @typescript-eslint/naming-convention
			try {
				await this._client.send(command, {abortSignal});
				return Right(undefined);
			} catch (error) {
				return resolvePutAll(error, writes);
			}
		});
	}

	dispose(): void {
		this._client.destroy();
	}

	private async _queryPage(
		partition: string,
		after: Attributes | undefined,
		limit: number,
		abortSignal: AbortSignal,
	): Promise<Page> {
		/* eslint-disable @typescript-eslint/naming-convention -- the service's names. */
		const command = new QueryCommand({
			TableName: this._tableName,
			KeyConditionExpression: '#partition = :partition',
			ExpressionAttributeNames: {'#partition': 'partition'},
			ExpressionAttributeValues: {':partition': {S: partition}},
			ExclusiveStartKey: after,
			Limit: Math.min(limit, maximumPageItems),
			ConsistentRead: !eventuallyConsistentPartitions.has(partition),
		});
		/* eslint-enable @typescript-eslint/naming-convention */
		const output = await this._client.send(command, {abortSignal});
		return {items: (output.Items ?? []).map(attributes => decodeItem(attributes)), next: output.LastEvaluatedKey};
	}

	private _putInput(item: TableItem, expectedRevision: number): Put {
		const isNew = expectedRevision === 0;
		/* eslint-disable @typescript-eslint/naming-convention -- the service's names. */
		return {
			TableName: this._tableName,
			Item: encodeItem(item),
			ConditionExpression: isNew ? 'attribute_not_exists(#partition)' : '#revision = :expected AND #changeId <> :changeId',
			ExpressionAttributeNames: isNew
				? {'#partition': 'partition'}
				: {'#revision': 'revision', '#changeId': 'changeId'},
			...(!isNew && {ExpressionAttributeValues: {':expected': {N: String(expectedRevision)}, ':changeId': {S: item.changeId}}}),
			ReturnValuesOnConditionCheckFailure: 'ALL_OLD',
		};
		/* eslint-enable @typescript-eslint/naming-convention */
	}
}

/** Resolves a failed put as success if the item that caused the refusal was written by the same change. */
function resolvePut(error: unknown, changeId: string): Either<PlatformFault, TableItem> {
	const current = error instanceof ConditionalCheckFailedException ? error.Item : undefined;
	return current?.changeId?.S === changeId ? Right(decodeItem(current)) : Left(faultOf(error));
}

function resolvePutAll(error: unknown, writes: readonly Write[]): Either<PlatformFault, void> {
	if (!(error instanceof TransactionCanceledException)) {
		return Left(faultOf(error));
	}

	const reasons = error.CancellationReasons ?? [];
	// A transaction is atomic: one item of the change in the table proves that all of it took effect.
	const isDone = writes.some(({item}, index) => isWrittenBy(reasons[index], item.changeId));
	return isDone ? Right(undefined) : Left(faultOfCancellation(reasons.map(reason => reason.Code ?? 'None')));
}

function isWrittenBy(reason: CancellationReason | undefined, changeId: string): boolean {
	return reason?.Item?.changeId?.S === changeId;
}
