/* eslint-disable @typescript-eslint/naming-convention -- the names are DynamoDB's. */
import {
	after, before, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {z} from 'zod';
import {LoopbackPlatform} from './loopback-platform.js';
import {makeInjectedFaults} from './settings.js';

const platform = new LoopbackPlatform();
let url = '';

before(async () => {
	const settings = await platform.start();
	url = settings.tableEndpoint!;
});

beforeEach(() => {
	platform.clearFaults();
});

after(() => {
	platform.dispose();
});

const bodySchema = z.record(z.string(), z.unknown());

type Answer = {readonly status: number; readonly body: Readonly<Record<string, unknown>>};

async function call(operation: string, request: unknown): Promise<Answer> {
	const response = await fetch(url, {
		method: 'POST',
		headers: {'x-amz-target': `DynamoDB_20120810.${operation}`},
		body: typeof request === 'string' ? request : JSON.stringify(request),
	});
	return {status: response.status, body: bodySchema.parse(await response.json())};
}

async function errorOf(operation: string, request: unknown): Promise<string> {
	const {status, body} = await call(operation, request);
	return `${status} ${String(body.__type).split('#')[1]}`;
}

async function setFaults(change: unknown): Promise<number> {
	const response = await fetch(`${url}/faults`, {method: 'POST', body: JSON.stringify(change)});
	return response.status;
}

const table = 'quetzalstream';
const key = (sort: string) => ({partition: {S: 'p'}, sort: {S: sort}});

describe('PlatformServer', () => {
	it('creates and describes tables', async () => {
		const keySchema = [{AttributeName: 'pk', KeyType: 'HASH'}, {AttributeName: 'sk', KeyType: 'RANGE'}];
		expect(await errorOf('DescribeTable', {TableName: 'other'})).toEqual('400 ResourceNotFoundException');
		const created = await call('CreateTable', {TableName: 'other', KeySchema: keySchema});
		expect(created.status).toEqual(200);
		expect(await errorOf('CreateTable', {TableName: 'other', KeySchema: keySchema})).toEqual('400 ResourceInUseException');
		const described = await call('DescribeTable', {TableName: 'other'});
		expect(described.body.Table).toEqual({
			TableName: 'other', TableStatus: 'ACTIVE', KeySchema: keySchema,
		});
	});

	const invalidRequests: ReadonlyArray<readonly [string, string, unknown, string]> = [
		['an unknown operation', 'Scan', {}, '400 UnknownOperationException'],
		['a body that is not JSON', 'GetItem', '{', '400 SerializationException'],
		['an unknown parameter', 'GetItem', {TableName: table, Key: key('a'), Extra: 1}, '400 ValidationException'],
		['an item without its key', 'PutItem', {TableName: table, Item: {partition: {S: 'p'}}}, '400 ValidationException'],
		['an item above the size limit', 'PutItem', {TableName: table, Item: {...key('a'), body: {S: 'x'.repeat(500_000)}}}, '400 ValidationException'],
		['a name without a value', 'PutItem', {TableName: table, Item: key('a'), ConditionExpression: 'attribute_exists(#x)'}, '400 ValidationException'],
		['an unsupported expression', 'PutItem', {TableName: table, Item: key('a'), ConditionExpression: 'size(body) < :a'}, '400 ValidationException'],
		['a query without a partition', 'Query', {TableName: table, KeyConditionExpression: 'sort > :a', ExpressionAttributeValues: {':a': {S: 'a'}}}, '400 ValidationException'],
		['a condition that does not hold', 'PutItem', {TableName: table, Item: key('a'), ConditionExpression: 'attribute_exists(body)'}, '400 ConditionalCheckFailedException'],
	];

	for (const [name, operation, request, expected] of invalidRequests) {
		it(`refuses ${name}`, async () => {
			expect(await errorOf(operation, request)).toEqual(expected);
		});
	}

	it('delays changes only in queries of the hosts partition', async () => {
		const query = async (partition: string): Promise<unknown> => {
			const {body} = await call('Query', {
				TableName: table, KeyConditionExpression: 'partition = :p', ExpressionAttributeValues: {':p': {S: partition}},
			});
			return body.Count;
		};

		await setFaults({hostListLagMs: 60_000});
		await call('PutItem', {TableName: table, Item: {partition: {S: 'hosts'}, sort: {S: 'a'}}});
		await call('PutItem', {TableName: table, Item: {partition: {S: 'groups'}, sort: {S: 'a'}}});
		expect([await query('hosts'), await query('groups')]).toEqual([0, 1]);
		await setFaults({hostListLagMs: 0});
		expect(await query('hosts')).toEqual(1);
	});

	it('answers HEAD with the ETag and no body', async () => {
		const put = await fetch(`${url}/bucket/key`, {method: 'PUT', body: 'text'});
		const head = await fetch(`${url}/bucket/key`, {method: 'HEAD'});
		expect([head.status, head.headers.get('etag'), await head.text()]).toEqual([200, put.headers.get('etag'), '']);
		const absent = await fetch(`${url}/bucket/none`, {method: 'HEAD'});
		expect(absent.status).toEqual(404);
	});

	it('applies known faults, keeps those that are not named, and reports both', async () => {
		expect(await setFaults({outage: 'refused', latencyMs: 1})).toEqual(200);
		expect(await setFaults({latencyMs: 2})).toEqual(200);
		expect(await setFaults({latency: 2})).toEqual(400);
		expect(await errorOf('GetItem', {TableName: table, Key: key('a')})).toEqual('503 ServiceUnavailableException');
		const response = await fetch(`${url}/status`);
		const {faults} = bodySchema.parse(await response.json());
		expect(faults).toEqual(makeInjectedFaults({outage: 'refused', latencyMs: 2}));
	});
});
