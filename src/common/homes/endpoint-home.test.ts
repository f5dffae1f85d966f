import {describe, it} from 'node:test';
import {expect} from 'earl';
import {HomeHarness, RecordedAnswer} from './testing/home-harness.js';

const session = (number: number) => ({sessionId: `node-9/run/${number}`});

describe('EndpointHome', () => {
	it('holds the answer of a write until it is confirmed, but neither slot nor connection', async () => {
		const bench = await new HomeHarness().ready();
		bench.group.confirmMs = 500;
		const sink = new RecordedAnswer();
		const write = bench.execute('INSERT 1', {}, sink);
		await bench.clock.advance(10);
		expect(bench.endpoint.statements).toEqual(['INSERT 1']);
		bench.group.confirmMs = 1;
		const others = [2, 3, 4, 5].map(async number => bench.run('INSERT 1', session(number)));
		expect(await bench.clock.advanceUntil(Promise.all(others))).toEqual(['ok', 'ok', 'ok', 'ok']);
		expect(sink.pieces.length).toEqual(0);
		const result = await bench.clock.advanceUntil(write);
		const end = result.unsafeCoerce();
		expect(sink.pieces.length).toEqual(1);
		expect([end.position, end.isHeld]).toEqual([{term: 1, offset: 11}, false]);
	});

	it('acknowledges at the commit when it is told to', async () => {
		const bench = await new HomeHarness({acknowledgement: 'commit'}).ready();
		bench.group.isConfirming = false;
		expect(await bench.runNow('INSERT 1')).toEqual('ok');
	});

	it('does not confirm again what a read of the primary saw before', async () => {
		const bench = await new HomeHarness().ready();
		await bench.runNow('SELECT 1');
		await bench.runNow('SELECT 1');
		expect(bench.group.confirmations).toEqual(1);
	});

	it('refuses by role', async () => {
		const replica = await new HomeHarness({}, 'replica').ready();
		const refusal = await replica.refusalOf('INSERT 1');
		expect([refusal.kind, refusal.correction?.primary]).toEqual(['notPrimary', 'stock-2']);
		replica.group.primary = '';
		expect(await replica.runNow('INSERT 1')).toEqual('noPrimary');
		// The endpoint's own word counts, whatever the caller or the view says.
		expect(await replica.runNow('INSERT 1', {access: 'read'})).toEqual('readOnlyEndpoint');
		replica.group.primary = 'stock-1';
		expect(await replica.runNow('INSERT 1')).toEqual('notPrimary');
	});

	it('waits a short time for a position that is close', async () => {
		const bench = await new HomeHarness({}, 'replica').ready();
		const minimumPosition = {term: 1, offset: 12};
		const close = bench.run('SELECT 1', {minimumPosition});
		await bench.clock.advance(20);
		bench.endpoint.moveTo({term: 1, offset: 12});
		expect(await bench.clock.advanceUntil(close)).toEqual('ok');
		const startMs = bench.clock.nowMs();
		expect(await bench.runNow('SELECT 1', {minimumPosition: {term: 1, offset: 13}})).toEqual('behindToken');
		expect(bench.clock.nowMs() - startMs).toEqual(50);
		expect(await bench.runNow('SELECT 1', {minimumPosition: {term: 1, offset: 5000}})).toEqual('behindToken');
		expect(bench.clock.nowMs() - startMs).toEqual(50);
		bench.endpoint.report({isStreaming: false});
		expect(await bench.runNow('SELECT 1', {minimumPosition: {term: 1, offset: 13}})).toEqual('behindToken');
		expect(bench.clock.nowMs() - startMs).toEqual(50);
	});

	it('forgets a position when the log is cut or the connection is new', async () => {
		const bench = await new HomeHarness({}, 'replica').ready();
		const minimumPosition = {term: 1, offset: 10};
		expect(await bench.runNow('SELECT 1', {minimumPosition})).toEqual('ok');
		bench.endpoint.report({promisedTerm: 2, received: {term: 1, offset: 8}, applied: {term: 1, offset: 8}});
		expect(await bench.runNow('SELECT 1', {minimumPosition})).toEqual('behindToken');
		// An entry of a later term comes after everything acknowledged before.
		bench.endpoint.moveTo({term: 2, offset: 9});
		expect(await bench.runNow('SELECT 1', {minimumPosition})).toEqual('ok');
	});

	it('answers a read of a stated age within it, or says which age it could have', async () => {
		const bench = await new HomeHarness({}, 'replica').ready();
		bench.group.age = 300;
		expect(await bench.runNow('SELECT 1', {maximumAgeMs: 100})).toEqual('ok');
		bench.group.age = 300;
		bench.group.ageAfterProof = 250;
		const refusal = await bench.refusalOf('SELECT 1', {maximumAgeMs: 100});
		expect([refusal.kind, refusal.detail]).toEqual(['tooStale', 'possible age 250 ms']);
	});

	it('proves freshness beside the statement and holds the answer for it', async () => {
		const bench = await new HomeHarness().ready();
		expect(await bench.runNow('SELECT 1', {isFreshnessProved: true})).toEqual('ok');
		bench.group.isProving = false;
		expect(await bench.runNow('SELECT 1', {isFreshnessProved: true})).toEqual('noPrimary');
		bench.group.isProving = true;
		bench.group.proveMs = 20;
		const read = bench.run('SELECT 1', {isFreshnessProved: true});
		await bench.clock.advance(5);
		bench.group.primary = 'stock-2';
		expect(await bench.clock.advanceUntil(read)).toEqual('notPrimary');
	});

	it('passes a long answer on in pieces, each one confirmed on the primary', async () => {
		const bench = await new HomeHarness({heldAnswerBytes: 1000}).ready();
		bench.endpoint.rowBytes = 5000;
		const sink = new RecordedAnswer();
		await bench.clock.advanceUntil(bench.execute('SELECT 1', {}, sink));
		expect(sink.pieces.map(piece => piece.length > 5000)).toEqual([true, false]);
		expect(bench.group.confirmations).toEqual(1);
	});
});

describe('transactions of an endpoint', () => {
	it('keep their connection; their statements take slots only while they run', async () => {
		const bench = await new HomeHarness().ready();
		for (const number of [1, 2, 3, 4, 5]) {
			expect(await bench.runNow('BEGIN', session(number))).toEqual('ok');
		}

		expect(await bench.runNow('SELECT 1', session(6))).toEqual('ok');
		await bench.clock.advance(20);
		expect(bench.endpoint.connections.size).toEqual(8);
		const statements = [1, 2, 3, 4, 5].map(async number => bench.run('INSERT 1', {...session(number), isInTransaction: true}));
		await bench.clock.advanceUntil(Promise.all(statements));
		expect(bench.endpoint.maximumRunning).toEqual(3);
		const {position} = await bench.endOf('COMMIT', {...session(1), isInTransaction: true});
		expect(position.offset).toEqual(11);
	});

	it('are bounded, so that reads go on, and connections stay within the limit', async () => {
		const bench = await new HomeHarness().ready();
		// 20 connections, less one control connection and one to spare, less 3 slots.
		const begins = Array.from({length: 16}, async (_, number) => bench.run('BEGIN', {...session(number), transactionIdleMs: 5000}));
		const kinds = await bench.clock.advanceUntil(Promise.all(begins));
		expect(kinds.filter(kind => kind === 'ok').length).toEqual(15);
		expect(kinds.at(-1)).toEqual('deadlineExceeded');
		const reads = [50, 51, 52].map(async number => bench.run('SELECT 1', session(number)));
		expect(await bench.clock.advanceUntil(Promise.all(reads))).toEqual(['ok', 'ok', 'ok']);
		expect(bench.endpoint.maximumConnections).toEqual(18);
	});

	it('are rolled back when idle for too long, and the session is told', async () => {
		const bench = await new HomeHarness().ready();
		await bench.runNow('BEGIN');
		await bench.clock.advance(501);
		expect(bench.endpoint.statements).toEqual(['BEGIN', 'ROLLBACK']);
		expect([...bench.endpoint.connections].every(connection => connection.transactionStatus === 'idle')).toEqual(true);
		expect(await bench.runNow('INSERT 1', {isInTransaction: true})).toEqual('transactionTooLong');
		expect(bench.endpoint.statements.length).toEqual(2);
	});

	it('are rolled back when their session is released, also in mid-statement', async () => {
		const bench = await new HomeHarness().ready();
		for (const step of ['BEGIN', 'INSERT 1']) {
			const isInTransaction = step !== 'BEGIN';
			if (isInTransaction) {
				await bench.runNow('BEGIN');
			}

			const statement = bench.run(step, {isInTransaction});
			await bench.clock.advance(0);
			bench.homes.release('stock', 'stock-1', 'node-9/run/1');
			await bench.clock.advanceUntil(statement);
			await bench.clock.advance(10);
			expect(bench.endpoint.statements.at(-1)).toEqual('ROLLBACK');
		}
	});

	it('are lost with their connection while idle', async () => {
		const bench = await new HomeHarness().ready();
		await bench.runNow('BEGIN');
		for (const connection of bench.endpoint.connections) {
			connection.breakNow();
		}

		expect(await bench.runNow('COMMIT', {isInTransaction: true})).toEqual('transactionLost');
	});
});

describe('work connections of an endpoint', () => {
	it('are tried again with growing delays while requests are refused at once', async () => {
		const bench = await new HomeHarness().ready();
		bench.endpoint.isRefusingConnections = true;
		for (const connection of bench.endpoint.connections) {
			connection.breakNow();
		}

		await bench.clock.advance(100);
		const startMs = bench.clock.nowMs();
		const refusal = await bench.refusalOf('SELECT 1');
		expect(refusal.kind).toEqual('endpointUnavailable');
		expect([refusal.retryAfterMs > 0, bench.clock.nowMs() - startMs]).toEqual([true, 0]);
		bench.endpoint.isRefusingConnections = false;
		await bench.clock.advance(1500);
		expect(await bench.runNow('SELECT 1')).toEqual('ok');
	});
});
