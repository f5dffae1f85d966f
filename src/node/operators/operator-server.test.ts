import {Buffer} from 'node:buffer';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {InjectOptions} from 'fastify';
import {toDocument} from '../../common/configuration/model.js';
import {authenticationDefaults} from './constants.js';
import {makeOperatorServer} from './testing/operator-fixtures.js';

function basic(user: string, password: string): string {
	return `Basic ${Buffer.from(`${user}:${password}`).toString('base64')}`;
}

const ann = basic('ann', 'plain');
const drain = {op: 'put', kind: 'rule', value: {name: 'drain.zone.zone-b', selector: {zones: ['zone-b']}, effect: {kind: 'drain'}}};

type Answer = {
	kind?: string;
	version?: number;
	problems?: ReadonlyArray<{path: string}>;
	change?: {number: number; author: string};
	changes?: ReadonlyArray<{number: number}>;
	touched?: unknown;
	document?: unknown;
};

async function setUp() {
	const parts = await makeOperatorServer();
	const {server} = parts.operatorServer;
	const request = async (method: 'GET' | 'POST', url: string, payload?: unknown, headers: Record<string, string> = {}) => {
		const options: InjectOptions = {
			method, url, headers: {authorization: ann, ...(payload === undefined ? {} : {'content-type': 'application/json'}), ...headers},
			payload: typeof payload === 'string' ? payload : JSON.stringify(payload),
		};
		const response = await server.inject(options);
		return {response, status: response.statusCode, body: (): Answer => response.json<Answer>()};
	};

	return {...parts, request};
}

describe('OperatorServer', () => {
	const refusals: ReadonlyArray<[title: string, headers: Record<string, string>, status: number]> = [
		['no credentials', {authorization: ''}, 401],
		['a wrong password', {authorization: basic('ann', 'wrong')}, 401],
		['a wrong password against a hash', {authorization: basic('bob', 'plain')}, 401],
		['an unknown user', {authorization: basic('eve', 'plain')}, 401],
		['broken credentials', {authorization: 'Basic %%%'}, 401],
		['the hashed password', {authorization: basic('bob', 'hashed')}, 200],
	];
	for (const [title, headers, status] of refusals) {
		it(`answers ${status} to ${title}`, async () => {
			const {request} = await setUp();
			const {response} = await request('GET', '/api/status', undefined, headers);
			expect(response.statusCode).toEqual(status);
			expect(response.headers['www-authenticate'] !== undefined).toEqual(status === 401);
		});
	}

	it('refuses an address after failed attempts, but not an operator who was accepted before', async () => {
		const {request, clock} = await setUp();
		await request('GET', '/api/status');
		for (let count = 0; count < authenticationDefaults.failuresAllowed; count++) {
			await request('GET', '/api/status', undefined, {authorization: basic('ann', `guess-${count}`)});
		}

		const guess = await request('GET', '/api/status', undefined, {authorization: basic('bob', 'hashed')});
		expect([guess.status, Number(guess.response.headers['retry-after']) > 0]).toEqual([429, true]);
		const known = await request('GET', '/api/status');
		expect(known.status).toEqual(200);
		await clock.advance(authenticationDefaults.failureWindowMs);
		const later = await request('GET', '/api/status', undefined, {authorization: basic('bob', 'hashed')});
		expect(later.status).toEqual(200);
	});

	const proposal = {changeId: 'from-page-1', basedOn: 1, operations: [drain]};
	const malformed: ReadonlyArray<[title: string, payload: unknown, headers: Record<string, string>, status: number, path?: string]> = [
		['text that is not JSON', '{"a":', {}, 400, '$'],
		['an empty body', '', {}, 400, '$'],
		['a field of a wrong type', {...proposal, basedOn: 'x'}, {}, 400, '$.basedOn'],
		['a field that does not exist', {...proposal, extra: 1}, {}, 400, '$'],
		['a wrong operation', {...proposal, operations: [{...drain, value: {...drain.value, effect: {kind: 'drain', isDraining: 1}}}]}, {}, 400, '$.operations[0].value.effect.isDraining'],
		['a reference to an unknown zone', {...proposal, operations: [{...drain, value: {...drain.value, selector: {zones: ['x']}}}]}, {}, 400, '$.rules["drain.zone.zone-b"].selector.zones'],
		['neither operations nor document', {changeId: 'from-page-1', basedOn: 1}, {}, 400, '$'],
		['another content type', 'a=b', {'content-type': 'application/x-www-form-urlencoded'}, 415],
		['a large body', {...proposal, note: 'x'.repeat(70_000)}, {}, 413],
		['another origin', proposal, {origin: 'https://evil.example'}, 403],
		['another site', proposal, {'sec-fetch-site': 'cross-site'}, 403],
	];
	for (const [title, payload, headers, status, path] of malformed) {
		it(`refuses ${title} with ${status}`, async () => {
			const {request, history} = await setUp();
			const {response, body} = await request('POST', '/api/changes', payload, headers);
			expect(response.statusCode).toEqual(status);
			expect(body().problems?.[0]?.path).toEqual(path);
			expect(history.version).toEqual(1);
		});
	}

	it('previews, accepts, repeats and undoes changes, and reports conflicts', async () => {
		const {request, history} = await setUp();
		const preview = await request('POST', '/api/changes/preview', {operations: [drain]});
		expect(preview.body().touched).toEqual({
			endpointCount: 2, endpoints: ['orders-b', 'stock-b'], groupCount: 2,
			groups: ['orders', 'stock'], zoneCount: 1, zones: ['zone-b'], callerCount: 0,
			callers: [],
			touchesUnlistedCallers: false,
		});
		const accepted = await request('POST', '/api/changes', proposal);
		const again = await request('POST', '/api/changes', proposal);
		expect([accepted.status, again.status, again.body().change?.number]).toEqual([201, 201, 2]);
		const late = await request('POST', '/api/changes', {...proposal, changeId: 'from-bob-1'});
		expect([late.status, late.body().kind]).toEqual([409, 'conflict']);
		const order = await request('POST', '/api/groups/stock/primary', {changeId: 'order-stock-c', basedOn: 2, endpoint: 'stock-c'});
		expect([order.status, order.body().change?.author]).toEqual([201, 'ann']);
		const undone = await request('POST', '/api/changes/2/undo', {changeId: 'undo-drain-b', basedOn: 3});
		expect([undone.status, [...history.model.rule.keys()]]).toEqual([201, ['primary.stock']]);
		const loss = await request('POST', '/api/changes', {changeId: 'lose-primary', basedOn: 4, operations: [{...drain, value: {...drain.value, name: 'x', selector: {zones: ['zone-a']}}}]});
		expect([loss.status, loss.body().kind]).toEqual([428, 'unacknowledged']);
		const list = await request('GET', '/api/changes?limit=2&before=4');
		expect(list.body().changes?.map(({number}) => number)).toEqual([3, 2]);
	});

	it('compares a document with the version that its author had seen', async () => {
		const {request, history, changeLog} = await setUp();
		const {body} = await request('GET', '/api/configuration');
		const {document} = body();
		await changeLog.propose({
			changeId: 'meanwhile-1', author: 'bob', basedOn: 1, operations: [{op: 'remove', kind: 'caller', name: 'till'}],
		});
		const stale = await request('POST', '/api/changes', {changeId: 'whole-file-1', basedOn: 1, document});
		expect(stale.status).toEqual(409);
		const whole = await request('POST', '/api/changes', {changeId: 'whole-file-2', basedOn: 2, document});
		expect([whole.status, history.model.caller.has('till')]).toEqual([201, true]);
		const nothing = await request('POST', '/api/changes', {changeId: 'whole-file-3', basedOn: 3, document});
		expect(nothing.status).toEqual(400);
	});

	it('compares a document with the version that its author had seen, also on a node that lags', async () => {
		const {request, platform, history} = await setUp();
		const ahead = await makeOperatorServer({}, platform);
		await ahead.changeLog.propose({
			changeId: 'elsewhere-1', author: 'bob', basedOn: 1, operations: [{op: 'remove', kind: 'caller', name: 'till'}],
		});
		const document = toDocument(ahead.history.model);
		expect([history.version, ahead.history.version]).toEqual([1, 2]);
		const same = await request('POST', '/api/changes', {changeId: 'same-file-1', basedOn: 2, document});
		expect([same.status, same.body().problems?.[0]?.path]).toEqual([400, '$.operations']);
		const renamed = {...document, callers: [{user: 'kiosk', labels: {}}]};
		const accepted = await request('POST', '/api/changes', {changeId: 'new-file-1', basedOn: 2, document: renamed});
		expect([accepted.status, [...history.model.caller.keys()]]).toEqual([201, ['kiosk']]);
	});

	it('sends a retry delay while the table is down, and still answers what it knows', async () => {
		const {request, client} = await setUp();
		client.faults.outage = 'refused';
		const refused = await request('POST', '/api/changes', proposal);
		expect([refused.status, refused.body().kind, refused.response.headers['retry-after']]).toEqual([503, 'unavailable', '5']);
		const reach = await request('GET', '/api/changes/1/reach');
		expect<unknown>(reach.body()).toEqual({
			number: 1, nodeCount: 3, inForceCount: 1, isEverywhere: false,
			lagging: [{name: 'node-b', availabilityZone: 'zone-b', version: 0}], cutOff: [{name: 'node-c', availabilityZone: 'zone-c'}],
		});
		const explanation = await request('GET', '/api/explain?user=web&group=stock');
		expect([explanation.status, explanation.body().version]).toEqual([200, 1]);
	});

	it('serves health checks, metrics and the page', async () => {
		const {request, readiness} = await setUp();
		readiness.isReady = false;
		const open = await Promise.all(['/healthz', '/readyz', '/metrics', '/', '/page.js'].map(async url => request('GET', url, undefined, {authorization: ''})));
		expect(open.map(({status}) => status)).toEqual([200, 503, 200, 401, 401]);
		const page = await Promise.all(['/', '/page.css', '/page.js', '/proposal.js', '/absent'].map(async url => request('GET', url)));
		expect(page.map(({status}) => status)).toEqual([200, 200, 200, 200, 404]);
	});
});
