import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HomeHarness, RecordedAnswer} from './testing/home-harness.js';

const session = (number: number) => ({sessionId: `node-9/run/${number}`});

describe('EndpointHome', () => {
	it('holds the answer of a write until it is confirmed, but neither slot nor connection', async () => {
		const harness = await new HomeHarness().ready();
		harness.group.confirmMs = 500;
		const sink = new RecordedAnswer();
		const write = harness.execute('INSERT 1', {}, sink);
		await harness.clock.advance(10);
		expect(harness.endpoint.statements).toEqual(['INSERT 1']);
		harness.group.confirmMs = 1;
		const others = [2, 3, 4, 5].map(async number => harness.run('INSERT 1', session(number)));
		expect(await harness.clock.advanceUntil(Promise.all(others))).toEqual(['ok', 'ok', 'ok', 'ok']);
		expect(sink.chunks.length).toEqual(0);
		const result = await harness.clock.advanceUntil(write);
		const end = result.unsafeCoerce();
		expect(sink.chunks.length).toEqual(1);
		expect([end.position, end.isHeld]).toEqual([{term: 1, offset: 11}, false]);
	});

	it('acknowledges a write at its commit, without confirmation, if so configured', async () => {
		const harness = await new HomeHarness({acknowledgement: 'commit'}).ready();
		harness.group.isConfirming = false;
		expect(await harness.runNow('INSERT 1')).toEqual('ok');
	});

	it('does not confirm a position again that an earlier read of the primary had confirmed', async () => {
		const harness = await new HomeHarness().ready();
		await harness.runNow('SELECT 1');
		await harness.runNow('SELECT 1');
		expect(harness.group.confirmations).toEqual(1);
	});

	it('refuses requests that the role of the endpoint does not allow', async () => {
		const replica = await new HomeHarness({}, 'replica').ready();
		const refusal = await replica.refusalOf('INSERT 1');
		expect([refusal.kind, refusal.correction?.primary]).toEqual(['notPrimary', 'stock-2']);
		replica.group.primary = '';
		expect(await replica.runNow('INSERT 1')).toEqual('noPrimary');
		// The endpoint's own refusal counts, even if the request is declared a read.
		expect(await replica.runNow('INSERT 1', {access: 'read'})).toEqual('readOnlyEndpoint');
		replica.group.primary = 'stock-1';
		expect(await replica.runNow('INSERT 1')).toEqual('notPrimary');
	});

	it('waits briefly for a position that is only a few log entries away', async () => {
		const harness = await new HomeHarness({}, 'replica').ready();
		const minimumPosition = {term: 1, offset: 12};
		const close = harness.run('SELECT 1', {minimumPosition});
		await harness.clock.advance(20);
		harness.endpoint.moveTo({term: 1, offset: 12});
		expect(await harness.clock.advanceUntil(close)).toEqual('ok');
		const startMs = harness.clock.nowMs();
		expect(await harness.runNow('SELECT 1', {minimumPosition: {term: 1, offset: 13}})).toEqual('behindToken');
		expect(harness.clock.nowMs() - startMs).toEqual(50);
		expect(await harness.runNow('SELECT 1', {minimumPosition: {term: 1, offset: 5000}})).toEqual('behindToken');
		expect(harness.clock.nowMs() - startMs).toEqual(50);
		harness.endpoint.report({isStreaming: false});
		expect(await harness.runNow('SELECT 1', {minimumPosition: {term: 1, offset: 13}})).toEqual('behindToken');
		expect(harness.clock.nowMs() - startMs).toEqual(50);
	});

	it('discards a known position when the log is truncated', async () => {
		const harness = await new HomeHarness({}, 'replica').ready();
		const minimumPosition = {term: 1, offset: 10};
		expect(await harness.runNow('SELECT 1', {minimumPosition})).toEqual('ok');
		harness.endpoint.report({promisedTerm: 2, received: {term: 1, offset: 8}, applied: {term: 1, offset: 8}});
		expect(await harness.runNow('SELECT 1', {minimumPosition})).toEqual('behindToken');
		// An entry of a later term follows everything that was acknowledged before.
		harness.endpoint.moveTo({term: 2, offset: 9});
		expect(await harness.runNow('SELECT 1', {minimumPosition})).toEqual('ok');
	});

	it('answers a read within its maximum age, or refuses it with the possible age', async () => {
		const harness = await new HomeHarness({}, 'replica').ready();
		harness.group.age = 300;
		expect(await harness.runNow('SELECT 1', {maximumAgeMs: 100})).toEqual('ok');
		harness.group.age = 300;
		harness.group.ageAfterProof = 250;
		const refusal = await harness.refusalOf('SELECT 1', {maximumAgeMs: 100});
		expect([refusal.kind, refusal.detail]).toEqual(['tooStale', 'possible age 250 ms']);
	});

	it('proves freshness while the statement runs and holds the answer until the proof', async () => {
		const harness = await new HomeHarness().ready();
		expect(await harness.runNow('SELECT 1', {isFreshnessProved: true})).toEqual('ok');
		harness.group.isProving = false;
		expect(await harness.runNow('SELECT 1', {isFreshnessProved: true})).toEqual('noPrimary');
		harness.group.isProving = true;
		harness.group.proveMs = 20;
		const read = harness.run('SELECT 1', {isFreshnessProved: true});
		await harness.clock.advance(5);
		harness.group.primary = 'stock-2';
		expect(await harness.clock.advanceUntil(read)).toEqual('notPrimary');
	});

	it('forwards a long answer of the primary in chunks and confirms before forwarding', async () => {
		const harness = await new HomeHarness({heldAnswerBytes: 1000}).ready();
		harness.endpoint.rowBytes = 5000;
		const sink = new RecordedAnswer();
		await harness.clock.advanceUntil(harness.execute('SELECT 1', {}, sink));
		expect(sink.chunks.map(piece => piece.length > 5000)).toEqual([true, false]);
		expect(harness.group.confirmations).toEqual(1);
	});
});

describe('transactions of an endpoint', () => {
	it('keep their connection; their statements take slots only while they run', async () => {
		const harness = await new HomeHarness().ready();
		for (const number of [1, 2, 3, 4, 5]) {
			expect(await harness.runNow('BEGIN', session(number))).toEqual('ok');
		}

		expect(await harness.runNow('SELECT 1', session(6))).toEqual('ok');
		await harness.clock.advance(20);
		expect(harness.endpoint.connections.size).toEqual(8);
		const statements = [1, 2, 3, 4, 5].map(async number => harness.run('INSERT 1', {...session(number), isInTransaction: true}));
		await harness.clock.advanceUntil(Promise.all(statements));
		expect(harness.endpoint.maximumRunning).toEqual(3);
		const {position} = await harness.endOf('COMMIT', {...session(1), isInTransaction: true});
		expect(position.offset).toEqual(11);
	});

	it('are bounded, so that reads go on, and connections stay within the limit', async () => {
		const harness = await new HomeHarness().ready();
		// 20 connections, minus one control connection, one spare connection and 3 for the slots.
		const begins = Array.from({length: 16}, async (_, number) => harness.run('BEGIN', {...session(number), transactionIdleMs: 5000}));
		const kinds = await harness.clock.advanceUntil(Promise.all(begins));
		expect(kinds.filter(kind => kind === 'ok').length).toEqual(15);
		expect(kinds.at(-1)).toEqual('deadlineExceeded');
		const reads = [50, 51, 52].map(async number => harness.run('SELECT 1', session(number)));
		expect(await harness.clock.advanceUntil(Promise.all(reads))).toEqual(['ok', 'ok', 'ok']);
		expect(harness.endpoint.maximumConnections).toEqual(18);
	});

	it('are rolled back when idle for too long, and the session is informed', async () => {
		const harness = await new HomeHarness().ready();
		await harness.runNow('BEGIN');
		await harness.clock.advance(501);
		expect(harness.endpoint.statements).toEqual(['BEGIN', 'ROLLBACK']);
		expect([...harness.endpoint.connections].every(connection => connection.transactionStatus === 'idle')).toEqual(true);
		expect(await harness.runNow('INSERT 1', {isInTransaction: true})).toEqual('transactionTooLong');
		expect(harness.endpoint.statements.length).toEqual(2);
	});

	it('are rolled back when their session is released, also in mid-statement', async () => {
		const harness = await new HomeHarness().ready();
		for (const step of ['BEGIN', 'INSERT 1']) {
			const isInTransaction = step !== 'BEGIN';
			if (isInTransaction) {
				await harness.runNow('BEGIN');
			}

			const statement = harness.run(step, {isInTransaction});
			await harness.clock.advance(0);
			harness.homes.release('stock', 'stock-1', 'node-9/run/1');
			await harness.clock.advanceUntil(statement);
			await harness.clock.advance(10);
			expect(harness.endpoint.statements.at(-1)).toEqual('ROLLBACK');
		}
	});

	it('are lost with their connection while idle', async () => {
		const harness = await new HomeHarness().ready();
		await harness.runNow('BEGIN');
		for (const connection of harness.endpoint.connections) {
			connection.breakNow();
		}

		expect(await harness.runNow('COMMIT', {isInTransaction: true})).toEqual('transactionLost');
	});
});

describe('work connections of an endpoint', () => {
	it('are retried with backoff while requests are refused at once', async () => {
		const harness = await new HomeHarness().ready();
		harness.endpoint.isRefusingConnections = true;
		for (const connection of harness.endpoint.connections) {
			connection.breakNow();
		}

		await harness.clock.advance(100);
		const startMs = harness.clock.nowMs();
		const refusal = await harness.refusalOf('SELECT 1');
		expect(refusal.kind).toEqual('endpointUnavailable');
		expect([refusal.retryAfterMs > 0, harness.clock.nowMs() - startMs]).toEqual([true, 0]);
		harness.endpoint.isRefusingConnections = false;
		await harness.clock.advance(1500);
		expect(await harness.runNow('SELECT 1')).toEqual('ok');
	});
});
