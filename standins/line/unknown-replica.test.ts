/**
 * These tests guard against two primaries of a group after a replica that the nodes inside a partition do not
 * count registers, or returns, outside of it and is promoted there.
 */
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {primacyDefaults} from '../../src/common/primacy/constants.js';
import {
	heartbeatMs, lifetimeMs, PartitionRun, renewedBeforeMs,
} from './partition-run.js';

/** Length of a partition in which the replica outside is promoted in every case. */
const partitionMs = 25_000;

describe('a replica that returns outside of a partition', () => {
	let run: PartitionRun;

	beforeEach(() => {
		run = new PartitionRun();
	});

	afterEach(() => {
		run.dispose();
	});

	async function expectOnePrimary(): Promise<void> {
		await run.runFor(partitionMs);
		expect([run.isReplaced, run.wrongAnswers]).toEqual([true, []]);
	}

	async function loseReplica(): Promise<void> {
		await run.loseOutside(lifetimeMs);
		await run.runFor(heartbeatMs + renewedBeforeMs);
	}

	async function expectOnePrimaryIfBackAfter(backAfterMs: number, nodes = 6): Promise<void> {
		await run.start(nodes, lifetimeMs);
		await loseReplica();
		run.begin();
		await run.runFor(backAfterMs);
		run.returnOutside();
		await expectOnePrimary();
	}

	for (const backAfterMs of [0, 500, 3000, 8000]) {
		it(`is promoted beside no other primary if it is back after ${backAfterMs} ms`, async () => expectOnePrimaryIfBackAfter(backAfterMs));
	}

	it('is promoted beside no other primary if it is not known when registrations lapse', async () => {
		await run.start(6);
		await loseReplica();
		run.begin();
		await run.runFor(500);
		run.returnOutside();
		await expectOnePrimary();
	});

	for (const backAfterMs of [500, 8000, 14_000]) {
		it(`is promoted beside no other primary in a large fleet if it is back after ${backAfterMs} ms`, async () => expectOnePrimaryIfBackAfter(backAfterMs, 18));
	}

	it('is promoted beside no other primary by nodes that started after its return', async () => {
		await run.start(6, lifetimeMs);
		await loseReplica();
		run.begin();
		run.returnOutside();
		await run.runFor(500);
		for (const node of run.nodesOutside()) {
			run.isolate(run.cluster.restart(node));
		}

		await expectOnePrimary();
	});

	it('is promoted beside no other primary if the nodes inside have never known it', async () => {
		await run.start(6, lifetimeMs);
		await loseReplica();
		for (const node of run.cluster.nodes) {
			run.cluster.restart(node);
		}

		await run.runFor(heartbeatMs + renewedBeforeMs);
		run.begin();
		await run.runFor(500);
		run.returnOutside();
		await expectOnePrimary();
	});

	// The price of the rule: nodes that started do not know for how long an endpoint has been registered.
	it('delays a promotion in a large fleet that has just started, for no longer than the time of trust', async () => {
		const {cluster} = run;
		await run.start(18, lifetimeMs);
		for (const node of cluster.nodes) {
			cluster.restart(node);
		}

		await run.runFor(1000);
		const startedAtMs = cluster.clock.nowMs();
		cluster.group.instance('i-1').isUp = false;
		while (!cluster.group.instances.some(({id, isPrimary}) => id !== 'i-1' && isPrimary)) {
			await run.runFor(100);
		}

		expect(cluster.clock.nowMs() - startedAtMs).toBeLessThan(primacyDefaults.registrationsTrustMs + 1000);
	});

	it('is promoted beside no other primary if its registration lapsed and returned right before the partition', async () => {
		await run.start(6, lifetimeMs);
		await loseReplica();
		run.returnOutside();
		run.begin();
		await expectOnePrimary();
	});
});
