import {describe, it} from 'node:test';
import {expect} from 'earl';
import {defaultHomeOptions} from './constants.js';
import {HomeHarness} from './testing/home-harness.js';

describe('HomeService', () => {
	it('attaches, opens connections in advance and runs statements', async () => {
		const harness = await new HomeHarness().ready();
		expect(harness.homes.served()).toEqual(['stock-1']);
		expect(harness.endpoint.connections.size).toEqual(3);
		expect(await harness.runNow('INSERT 1')).toEqual('ok');
		expect(await harness.runNow('SELECT 1')).toEqual('ok');
		harness.homes.dispose();
		await harness.clock.advance(100);
		expect(harness.clock.pendingTimers).toEqual(0);
	});

	it('serves no endpoint that is assigned to another node', async () => {
		const harness = new HomeHarness();
		harness.homeNode = 'node-2';
		harness.membershipChanges.fire();
		await harness.clock.advance(10_000);
		expect(harness.homes.served()).toEqual([]);
		const refusal = await harness.refusalOf('SELECT 1');
		expect([refusal.kind, refusal.correction?.homeNode]).toEqual(['notHome', 'node-2']);
	});

	it('requests a hand-over from the holder, and forces the attach only if that fails', async () => {
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
			const harness = new HomeHarness({}, 'primary', testCase.holder);
			harness.isOtherHandingOver = testCase.isLettingGo;
			harness.isOtherReachable = testCase.isAnswering ?? true;
			await harness.ready();
			expect(harness.endpoint.holder).toEqual('node-1/run1');
			expect(harness.handOvers.length).toEqual(testCase.handOvers);
			expect(harness.endpoint.forcedCount).toEqual(testCase.forced);
		}
	});

	it('serves an endpoint again at once when its home moved away and back after a hand-over', async () => {
		const harness = await new HomeHarness().ready();
		await harness.clock.advanceUntil(harness.homes.handOver('stock-1'));
		harness.membershipChanges.fire();
		await harness.clock.advance(100);
		expect(harness.homes.served()).toEqual([]);
		for (const homeNode of ['node-2', 'node-1']) {
			harness.homeNode = homeNode;
			harness.membershipChanges.fire();
		}

		await harness.ready();
		expect(harness.homes.served()).toEqual(['stock-1']);
	});

	it('replaces a holder that membership does not know only after a grace time', async () => {
		const harness = new HomeHarness({}, 'primary', 'node-7/run1');
		await harness.ready();
		expect([harness.endpoint.holder, harness.endpoint.forcedCount]).toEqual(['node-7/run1', 0]);
		await harness.clock.advance(defaultHomeOptions.unknownHolderGraceMs + defaultHomeOptions.attachRetryMaximumMs);
		expect([harness.endpoint.holder, harness.endpoint.forcedCount]).toEqual(['node-1/run1', 1]);
	});

	it('attaches again on a new control connection, and after another home took over', async () => {
		const harness = await new HomeHarness().ready();
		harness.endpoint.control?.dispose();
		harness.group.announce();
		expect(await harness.runNow('SELECT 1')).toEqual('endpointUnavailable');
		harness.endpoint.connectNow();
		harness.group.announce();
		expect(await harness.runNow('SELECT 1')).toEqual('ok');
		harness.endpoint.revoke();
		harness.endpoint.holder = 'node-2/run1';
		harness.isOtherHandingOver = true;
		await harness.clock.advance(200);
		expect(harness.handOvers).toEqual(['node-2 stock-1']);
		expect(await harness.runNow('SELECT 1')).toEqual('ok');
	});

	it('hands over after running statements and open transactions have finished, then detaches', async () => {
		const harness = await new HomeHarness().ready();
		await harness.runNow('BEGIN');
		harness.endpoint.serviceMs = 100;
		const running = harness.run('INSERT 1', {sessionId: 'node-9/run/2'});
		await harness.clock.advance(1);
		const handOver = harness.homes.handOver('stock-1');
		const begin = harness.run('BEGIN', {sessionId: 'node-9/run/3'});
		expect(await harness.clock.advanceUntil(running)).toEqual('ok');
		expect(harness.endpoint.holder).toEqual('node-1/run1');
		expect(await harness.runNow('INSERT 2', {isInTransaction: true})).toEqual('ok');
		expect(await harness.runNow('COMMIT', {isInTransaction: true})).toEqual('ok');
		expect(await harness.clock.advanceUntil(begin)).toEqual('notHome');
		await harness.clock.advanceUntil(handOver);
		expect([harness.endpoint.holder, harness.endpoint.connections.size]).toEqual(['', 0]);
		expect(await harness.runNow('SELECT 1')).toEqual('notHome');
		// Membership still assigns the endpoint to this node, so it serves it again after the cooldown.
		await harness.clock.advance(6000);
		expect(harness.homes.served()).toEqual(['stock-1']);
	});

	it('serves an endpoint again at once when the host that it was handed to leaves', async () => {
		const harness = await new HomeHarness().ready();
		harness.homeNode = 'node-2';
		harness.membershipChanges.fire();
		await harness.clock.advanceUntil(harness.homes.handOver('stock-1'));
		harness.homeNode = 'node-1';
		harness.membershipChanges.fire();
		await harness.clock.advance(100);
		expect(harness.homes.served()).toEqual(['stock-1']);
	});

	it('hands over after a transaction whose BEGIN was in progress', async () => {
		const harness = await new HomeHarness().ready();
		harness.endpoint.serviceMs = 100;
		const begin = harness.run('BEGIN');
		await harness.clock.advance(1);
		const handOver = harness.homes.handOver('stock-1');
		expect(await harness.clock.advanceUntil(begin)).toEqual('ok');
		expect(await harness.runNow('INSERT 1', {isInTransaction: true})).toEqual('ok');
		expect(await harness.runNow('COMMIT', {isInTransaction: true})).toEqual('ok');
		await harness.clock.advanceUntil(handOver);
	});

	it('drains within the bound even if a transaction stays open', async () => {
		const harness = await new HomeHarness().ready();
		await harness.runNow('BEGIN', {transactionIdleMs: 60_000});
		const startMs = harness.clock.nowMs();
		await harness.clock.advanceUntil(harness.homes.drain(1000));
		expect(harness.clock.nowMs() - startMs).toBeLessThan(1000);
		expect([harness.endpoint.holder, harness.endpoint.statements.at(-1)]).toEqual(['', 'ROLLBACK']);
		await harness.clock.advance(10_000);
		expect(harness.homes.served()).toEqual([]);
	});

	it('goes on serving while a long statement delays the hand-over', async () => {
		const harness = await new HomeHarness().ready();
		harness.endpoint.serviceMs = 5000;
		const long = harness.run('INSERT 1', {timeLeftMs: 10_000});
		await harness.clock.advance(10);
		harness.endpoint.serviceMs = 1;
		const handOver = harness.homes.handOver('stock-1');
		await harness.clock.advance(4000);
		expect(await harness.runNow('SELECT 1', {sessionId: 'node-9/run/2'})).toEqual('ok');
		expect(await harness.clock.advanceUntil(long)).toEqual('ok');
		await harness.clock.advanceUntil(handOver);
		expect(harness.endpoint.holder).toEqual('');
	});

	it('goes on serving until the new home requests the endpoint, for a limited time', async () => {
		const harness = await new HomeHarness().ready();
		harness.homeNode = 'node-2';
		harness.membershipChanges.fire();
		await harness.clock.advance(2000);
		expect(await harness.runNow('SELECT 1')).toEqual('ok');
		await harness.clock.advance(2000);
		expect(harness.endpoint.holder).toEqual('');
	});

	it('refuses new work on a draining endpoint while transactions finish', async () => {
		const harness = await new HomeHarness().ready();
		await harness.runNow('BEGIN');
		harness.isDraining = true;
		expect(await harness.runNow('SELECT 1', {sessionId: 'node-9/run/2'})).toEqual('endpointLeaving');
		expect(await harness.runNow('COMMIT', {isInTransaction: true})).toEqual('ok');
	});

	it('rolls back the transactions of an entry node that was lost', async () => {
		const harness = await new HomeHarness().ready();
		await harness.runNow('BEGIN');
		await harness.runNow('BEGIN', {sessionId: 'node-90/run/1'});
		harness.homes.onPeerLost('node-9');
		await harness.clock.advance(10);
		expect(harness.endpoint.statements.at(-1)).toEqual('ROLLBACK');
		expect(await harness.runNow('SELECT 1', {isInTransaction: true})).toEqual('transactionLost');
		expect(await harness.runNow('SELECT 1', {sessionId: 'node-90/run/1', isInTransaction: true})).toEqual('ok');
	});
});
