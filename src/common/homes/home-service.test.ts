import {describe, it} from 'node:test';
import {expect} from 'earl';
import {defaultHomeOptions} from './constants.js';
import {HomeHarness} from './testing/home-harness.js';

describe('HomeService', () => {
	it('attaches, opens connections ahead of need and runs statements', async () => {
		const bench = await new HomeHarness().ready();
		expect(bench.homes.served()).toEqual(['stock-1']);
		expect(bench.endpoint.connections.size).toEqual(3);
		expect(await bench.runNow('INSERT 1')).toEqual('ok');
		expect(await bench.runNow('SELECT 1')).toEqual('ok');
		bench.homes.dispose();
		await bench.clock.advance(100);
		expect(bench.clock.pendingTimers).toEqual(0);
	});

	it('serves nothing that is another node\'s', async () => {
		const bench = new HomeHarness();
		bench.homeNode = 'node-2';
		bench.membershipChanges.fire();
		await bench.clock.advance(10_000);
		expect(bench.homes.served()).toEqual([]);
		const refusal = await bench.refusalOf('SELECT 1');
		expect([refusal.kind, refusal.correction?.homeNode]).toEqual(['notHome', 'node-2']);
	});

	it('asks the holder to let go, and forces it only if that fails', async () => {
		const cases: Array<{
			holder: string; isLettingGo: boolean; isAnswering?: boolean; handOvers: number; forced: number;
		}> = [
			{
				holder: 'node-2/run1', isLettingGo: true, handOvers: 1, forced: 0,
			},
			{
				holder: 'node-2/run1', isLettingGo: false, handOvers: 1, forced: 1,
			},
			{
				holder: 'node-2/run1', isAnswering: false, isLettingGo: true, handOvers: 0, forced: 1,
			},
			{
				holder: 'node-2/run0', isLettingGo: true, handOvers: 0, forced: 1,
			},
			{
				holder: 'node-1/run0', isLettingGo: true, handOvers: 0, forced: 1,
			},
		];
		for (const testCase of cases) {
			const bench = new HomeHarness({}, 'primary', testCase.holder);
			bench.isLettingGo = testCase.isLettingGo;
			bench.isAnswering = testCase.isAnswering ?? true;
			await bench.ready();
			expect(bench.endpoint.holder).toEqual('node-1/run1');
			expect(bench.handOvers.length).toEqual(testCase.handOvers);
			expect(bench.endpoint.forcedCount).toEqual(testCase.forced);
		}
	});

	it('takes an endpoint up again at once when its home moved away and back after it was handed over', async () => {
		const bench = await new HomeHarness().ready();
		await bench.clock.advanceUntil(bench.homes.handOver('stock-1'));
		bench.membershipChanges.fire();
		await bench.clock.advance(100);
		expect(bench.homes.served()).toEqual([]);
		for (const homeNode of ['node-2', 'node-1']) {
			bench.homeNode = homeNode;
			bench.membershipChanges.fire();
		}

		await bench.ready();
		expect(bench.homes.served()).toEqual(['stock-1']);
	});

	it('forces a holder that membership does not know only after a grace time', async () => {
		const bench = new HomeHarness({}, 'primary', 'node-7/run1');
		await bench.ready();
		expect([bench.endpoint.holder, bench.endpoint.forcedCount]).toEqual(['node-7/run1', 0]);
		await bench.clock.advance(defaultHomeOptions.unknownHolderGraceMs + defaultHomeOptions.attachRetryMaximumMs);
		expect([bench.endpoint.holder, bench.endpoint.forcedCount]).toEqual(['node-1/run1', 1]);
	});

	it('attaches again on a new control connection, and after another home took over', async () => {
		const bench = await new HomeHarness().ready();
		bench.endpoint.control?.dispose();
		bench.group.announce();
		expect(await bench.runNow('SELECT 1')).toEqual('endpointUnavailable');
		bench.endpoint.connectNow();
		bench.group.announce();
		expect(await bench.runNow('SELECT 1')).toEqual('ok');
		bench.endpoint.revoke();
		bench.endpoint.holder = 'node-2/run1';
		bench.isLettingGo = true;
		await bench.clock.advance(200);
		expect(bench.handOvers).toEqual(['node-2 stock-1']);
		expect(await bench.runNow('SELECT 1')).toEqual('ok');
	});

	it('hands over: finishes what runs and open transactions, then detaches', async () => {
		const bench = await new HomeHarness().ready();
		await bench.runNow('BEGIN');
		bench.endpoint.serviceMs = 100;
		const running = bench.run('INSERT 1', {sessionId: 'node-9/run/2'});
		await bench.clock.advance(1);
		const handOver = bench.homes.handOver('stock-1');
		const begin = bench.run('BEGIN', {sessionId: 'node-9/run/3'});
		expect(await bench.clock.advanceUntil(running)).toEqual('ok');
		expect(bench.endpoint.holder).toEqual('node-1/run1');
		expect(await bench.runNow('INSERT 2', {isInTransaction: true})).toEqual('ok');
		expect(await bench.runNow('COMMIT', {isInTransaction: true})).toEqual('ok');
		expect(await bench.clock.advanceUntil(begin)).toEqual('notHome');
		await bench.clock.advanceUntil(handOver);
		expect([bench.endpoint.holder, bench.endpoint.connections.size]).toEqual(['', 0]);
		expect(await bench.runNow('SELECT 1')).toEqual('notHome');
		// It is still the home by membership, so it takes the endpoint up after a while.
		await bench.clock.advance(6000);
		expect(bench.homes.served()).toEqual(['stock-1']);
	});

	it('takes an endpoint back at once when the host that it was handed to leaves', async () => {
		const bench = await new HomeHarness().ready();
		bench.homeNode = 'node-2';
		bench.membershipChanges.fire();
		await bench.clock.advanceUntil(bench.homes.handOver('stock-1'));
		bench.homeNode = 'node-1';
		bench.membershipChanges.fire();
		await bench.clock.advance(100);
		expect(bench.homes.served()).toEqual(['stock-1']);
	});

	it('hands over after a transaction whose BEGIN was in progress', async () => {
		const bench = await new HomeHarness().ready();
		bench.endpoint.serviceMs = 100;
		const begin = bench.run('BEGIN');
		await bench.clock.advance(1);
		const handOver = bench.homes.handOver('stock-1');
		expect(await bench.clock.advanceUntil(begin)).toEqual('ok');
		expect(await bench.runNow('INSERT 1', {isInTransaction: true})).toEqual('ok');
		expect(await bench.runNow('COMMIT', {isInTransaction: true})).toEqual('ok');
		await bench.clock.advanceUntil(handOver);
	});

	it('lets go within the bound even if a transaction stays open', async () => {
		const bench = await new HomeHarness().ready();
		await bench.runNow('BEGIN', {transactionIdleMs: 60_000});
		const startMs = bench.clock.nowMs();
		await bench.clock.advanceUntil(bench.homes.drain(1000));
		expect(bench.clock.nowMs() - startMs).toBeLessThan(1000);
		expect([bench.endpoint.holder, bench.endpoint.statements.at(-1)]).toEqual(['', 'ROLLBACK']);
		await bench.clock.advance(10_000);
		expect(bench.homes.served()).toEqual([]);
	});

	it('serves on while a long statement keeps it from letting go', async () => {
		const bench = await new HomeHarness().ready();
		bench.endpoint.serviceMs = 5000;
		const long = bench.run('INSERT 1', {timeLeftMs: 10_000});
		await bench.clock.advance(10);
		bench.endpoint.serviceMs = 1;
		const handOver = bench.homes.handOver('stock-1');
		await bench.clock.advance(4000);
		expect(await bench.runNow('SELECT 1', {sessionId: 'node-9/run/2'})).toEqual('ok');
		expect(await bench.clock.advanceUntil(long)).toEqual('ok');
		await bench.clock.advanceUntil(handOver);
		expect(bench.endpoint.holder).toEqual('');
	});

	it('serves on while its successor has not asked, but not for ever', async () => {
		const bench = await new HomeHarness().ready();
		bench.homeNode = 'node-2';
		bench.membershipChanges.fire();
		await bench.clock.advance(2000);
		expect(await bench.runNow('SELECT 1')).toEqual('ok');
		await bench.clock.advance(2000);
		expect(bench.endpoint.holder).toEqual('');
	});

	it('refuses new work of a leaving endpoint while transactions finish', async () => {
		const bench = await new HomeHarness().ready();
		await bench.runNow('BEGIN');
		bench.isDraining = true;
		expect(await bench.runNow('SELECT 1', {sessionId: 'node-9/run/2'})).toEqual('endpointLeaving');
		expect(await bench.runNow('COMMIT', {isInTransaction: true})).toEqual('ok');
	});

	it('ends what a lost entry node held', async () => {
		const bench = await new HomeHarness().ready();
		await bench.runNow('BEGIN');
		await bench.runNow('BEGIN', {sessionId: 'node-90/run/1'});
		bench.homes.onPeerLost('node-9');
		await bench.clock.advance(10);
		expect(bench.endpoint.statements.at(-1)).toEqual('ROLLBACK');
		expect(await bench.runNow('SELECT 1', {isInTransaction: true})).toEqual('transactionLost');
		expect(await bench.runNow('SELECT 1', {sessionId: 'node-90/run/1', isInTransaction: true})).toEqual('ok');
	});
});
