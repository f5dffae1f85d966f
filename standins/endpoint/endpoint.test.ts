import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {connect} from 'node:net';
import {Buffer} from 'node:buffer';
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import type pg from 'pg';
import {Endpoint} from './endpoint.js';
import {readSettings, settingsSchema} from './settings.js';
import type {FaultCommand} from './faults.js';
import {
	EndpointHarness, cancelKeyOf, errorCodeOf, positionsOf, waitUntil,
} from './testing/endpoint-harness.js';

const testOptions = {timeout: 20_000};
let harness: EndpointHarness;

async function sendControlCommand(client: pg.Client, call: string): Promise<unknown> {
	const {rows} = await client.query<Record<string, unknown>>(`SELECT quetzalstream_${call}`);
	return Object.values(rows[0]);
}

async function injectFault(endpoint: Endpoint, body: FaultCommand): Promise<void> {
	const response = await fetch(`http://127.0.0.1:${endpoint.controlPort}/faults`, {method: 'POST', body: JSON.stringify(body)});
	expect(response.status).toEqual(200);
}

describe('Endpoint', testOptions, () => {
	beforeEach(() => {
		harness = new EndpointHarness();
	});
	afterEach(async () => harness.dispose());

	it('reports positions and replicates writes', async () => {
		const [a, b] = await harness.group(['b']);
		const client = await harness.client(a);
		const positions = positionsOf(client);
		await client.query('CREATE TABLE items (id int PRIMARY KEY, name text)');
		await client.query('SELECT 1');
		await client.query('BEGIN');
		await client.query('INSERT INTO items VALUES ($1, $2)', [1, 'x']);
		await client.query('COMMIT');
		expect(positions).toEqual(['1/2', '1/3']);
		await waitUntil(() => b.instance.applied.offset === 3);
		const replica = await harness.client(b);
		const {rows} = await replica.query('SELECT * FROM items');
		expect(rows).toEqual([{id: 1, name: 'x'}]);
		expect(await errorCodeOf(replica.query('DELETE FROM items'))).toEqual('25006');
		const response = await fetch(`http://127.0.0.1:${a.controlPort}/status`);
		expect(await response.json()).toEqual(a.status);
		expect(a.status.commitCount).toEqual(2);
	});

	it('supports the extended protocol with row limits, and recovers after errors', async () => {
		const [a] = await harness.group([]);
		const client = await harness.client(a);
		await client.query('CREATE TABLE items (id int PRIMARY KEY); INSERT INTO items SELECT g FROM generate_series(1, 5) g');
		const limited = {text: 'SELECT id FROM items WHERE id > $1 ORDER BY id', values: [1], rows: 2};
		const {rows} = await client.query<{id: number}>(limited);
		expect(rows.map(({id}) => id)).toEqual([2, 3, 4, 5]);
		for (const [text, values, code] of [
			['SELECT id FROM items WHERE id = $1', ['x'], '22P02'],
			['SELECT id FROM nothing WHERE id = $1', [1], '42P01'],
			['SELECT id FROM items WHERE id = $1', [1], 'done'],
			['SELECT id FROM items WHERE id = $1', [1, 2], '08P01'],
			['SELECT id FROM items WHERE id = $1', [], '42P02'],
		] as const) {
			expect([text, await errorCodeOf(client.query(text, [...values]))]).toEqual([text, code]);
		}
	});

	it('limits concurrent statements to its slots, and cancels a statement on request', async () => {
		const [a] = await harness.group([], {slots: 2});
		const clients = await Promise.all([1, 2, 3, 4, 5].map(async () => harness.client(a)));
		await Promise.all(clients.map(async client => client.query('SELECT pg_sleep(0.02)')));
		const {slots} = a.status;
		expect([slots.peak, slots.waitedCount, slots.running]).toEqual([2, 3, 0]);
		const [first] = clients;
		const sleeping = errorCodeOf(first.query('SELECT pg_sleep(1000)'));
		const request = Buffer.alloc(16);
		for (const [index, value] of [16, 80_877_102, ...cancelKeyOf(first)].entries()) {
			request.writeInt32BE(value, index * 4);
		}

		await waitUntil(() => a.status.slots.running === 1);
		connect(a.port, '127.0.0.1').end(request);
		expect(await sleeping).toEqual('57014');
		expect(await errorCodeOf(first.query('SELECT 1'))).toEqual('done');
	});

	it('refuses connections beyond the limit, from homes that are not attached and with a wrong password', async () => {
		const [a] = await harness.group([], {connections: 4});
		const control = await harness.client(a, 'quetzalstream-control:n1');
		expect(await errorCodeOf(harness.client(a, 'quetzalstream-work:one'))).toEqual('55006');
		expect(await sendControlCommand(control, 'attach(\'one\', false)')).toEqual(['t', 'one']);
		const work = await harness.client(a, 'quetzalstream-work:one');
		const other = await harness.client(a, 'quetzalstream-control:n2');
		expect(await sendControlCommand(other, 'attach(\'two\', false)')).toEqual(['f', 'one']);
		expect(await sendControlCommand(other, 'attach(\'two\', true)')).toEqual(['t', 'two']);
		expect(await errorCodeOf(work.query('SELECT 1'))).not.toEqual('done');
		await harness.client(a, 'quetzalstream-work:two');
		expect(await errorCodeOf(harness.client(a, 'test', 'wrong'))).toEqual('28P01');
		await waitUntil(() => a.status.connections.open === 3);
		await harness.client(a);
		expect(await errorCodeOf(harness.client(a))).toEqual('53300');
		await other.end();
		await waitUntil(() => a.instance.attachment.holder === '');
		await waitUntil(() => a.status.connections.byPurpose.work === 0);
	});

	it('does not respond while frozen, and handles everything afterwards', async () => {
		const [a] = await harness.group([]);
		const client = await harness.client(a);
		await injectFault(a, {fault: 'freeze'});
		let answered = 0;
		const count = async (promise: Promise<unknown>): Promise<void> => {
			await promise;
			answered += 1;
		};

		const waiting = [count(client.query('SELECT 1')), count(harness.client(a))];
		await fetch(`http://127.0.0.1:${a.controlPort}/status`);
		expect(answered).toEqual(0);
		await injectFault(a, {fault: 'heal'});
		await Promise.all(waiting);
		expect(answered).toEqual(2);
	});

	it('isolates single peers, which catch up afterwards', async () => {
		const [a, b, c] = await harness.group(['b', 'c'], {streamSilenceMs: 100_000});
		const client = await harness.client(a);
		await injectFault(a, {fault: 'cut', peers: ['b']});
		await client.query('CREATE TABLE items (id int PRIMARY KEY)');
		await waitUntil(() => c.instance.applied.offset === 2);
		expect(b.instance.received.offset).toEqual(1);
		await injectFault(a, {fault: 'heal'});
		await waitUntil(() => b.instance.applied.offset === 2);
	});

	it('is rebuilt after a crash that loses the memory', async () => {
		const [a, b] = await harness.group(['b']);
		const client = await harness.client(a);
		await client.query('CREATE TABLE items (id int PRIMARY KEY)');
		await injectFault(b, {fault: 'crash', isForgetting: true});
		expect(await errorCodeOf(harness.client(b))).toEqual('ECONNREFUSED');
		await injectFault(b, {fault: 'heal'});
		await waitUntil(() => !b.status.faults.isCrashed);
		const control = await harness.client(b, 'quetzalstream-control:n1');
		expect(await sendControlCommand(control, 'state()')).toEqual(['rebuilding 1 - 0/0 0/0 f']);
		expect(await errorCodeOf(control.query('SELECT 1'))).toEqual('57P03');
		await sendControlCommand(control, `follow(1, '127.0.0.1', ${a.port})`);
		await waitUntil(() => b.instance.role === 'replica' && b.instance.database.tables.has('items'));
	});

	it('keeps its term promise across a restart of the process', async () => {
		const folder = mkdtempSync(path.join(tmpdir(), 'endpoint-'));
		const file = path.join(folder, 'settings.json');
		writeFileSync(file, '{"name": "a", "group": "group", /* a comment */ "initialPrimary": "a"}');
		const first = new Endpoint(readSettings(file));
		await first.start();
		first.instance.follow(7, {host: '127.0.0.1', port: 1});
		first.dispose();
		const second = new Endpoint(readSettings(file));
		await second.start();
		expect([second.instance.role, second.instance.state.promisedTerm]).toEqual(['rebuilding', 7]);
		second.dispose();
		rmSync(folder, {recursive: true});
		expect(() => settingsSchema.parse({name: 'a', group: 'g', slotz: 1})).toThrow();
	});
});
