/**
 * These tests guard against two primaries of a group after a partition that isolates a primary together
 * with a replica and some nodes, from everything else and from the store.
 *
 * The registrations of both endpoints lapse, and the nodes outside promote the third one. By then the nodes
 * inside must no longer rely on the replica, which nobody could fence.
 */
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {tables} from '../../platform/names.js';
import {answerStartsWith} from './line-test-session.js';
import {cutConnections, databases, LineTestCluster} from './line-test-cluster.js';
import {lapseAfterMs, lifetimeMs, PartitionRun} from './partition-run.js';

describe('a partition that isolates a primary and a replica with some nodes', () => {
	let run: PartitionRun;

	beforeEach(() => {
		run = new PartitionRun();
	});

	afterEach(() => {
		run.dispose();
	});

	it('gives no answer of the old primary once another endpoint leads', async () => {
		await run.start(6, lifetimeMs);
		run.begin();
		await run.runFor(15_000);
		expect([run.isReplaced, run.wrongAnswers]).toEqual([true, []]);
	});

	it('gives none either if it is not known when registrations lapse', async () => {
		await run.start(6);
		run.begin();
		await run.runFor(15_000);
		expect([run.isReplaced, run.wrongAnswers]).toEqual([true, []]);
	});

	it('gives none either in a large fleet', async () => {
		await run.start(18, lifetimeMs);
		run.begin();
		await run.runFor(15_000);
		expect([run.isReplaced, run.wrongAnswers]).toEqual([true, []]);
	});

	it('gives none either if the nodes outside started after the registrations had lapsed', async () => {
		await run.start(6, lifetimeMs);
		run.begin();
		await run.runFor(lapseAfterMs + 100);
		for (const node of run.nodesOutside()) {
			run.isolate(run.cluster.restart(node));
		}

		await run.runFor(12_000);
		expect([run.isReplaced, run.wrongAnswers]).toEqual([true, []]);
	});
});

describe('a replica without a registration that does not answer', () => {
	let cluster: LineTestCluster;

	beforeEach(async () => {
		cluster = new LineTestCluster();
		await cluster.start(18);
		await write();
		await cluster.clock.advance(1000);
	});

	afterEach(() => {
		cluster.dispose();
	});

	async function write(): Promise<boolean> {
		const [node] = cluster.nodes;
		return answerStartsWith(node.session(databases.primary).send('WRITE x 1'), 'COMPLETE');
	}

	it('does not delay the promotion of another one', async () => {
		const {clock, group, store} = cluster;
		group.instance('i-2').isUp = false;
		await clock.advance(lapseAfterMs);
		store.put(tables.instances, 'i-2', undefined);
		group.instance('i-1').isUp = false;
		const startedAtMs = clock.nowMs();
		while (!await write()) {
			await clock.advance(20);
		}

		expect(clock.nowMs() - startedAtMs < 3000).toEqual(true);
	});
});

describe('an outage of the store that lasts longer than registrations live', () => {
	let cluster: LineTestCluster;

	async function start(): Promise<void> {
		cluster = new LineTestCluster();
		await cluster.start(6);
		await writeAll();
		cluster.store.isUnavailable = true;
	}

	/** Writes through every node; resolves to the number of acknowledged writes. */
	async function writeAll(): Promise<number> {
		const answers = await cluster.clock.advanceUntil(Promise.all(cluster.nodes.map(async node => node.session(databases.primary).start('WRITE x 1'))));
		return answers.filter(answer => answer.startsWith('COMPLETE')).length;
	}

	afterEach(() => {
		cluster.dispose();
	});

	it('stops no write while all replicas answer', async () => {
		await start();
		for (let round = 0; round < 200; round++) {
			expect(await writeAll()).toEqual(6);
			await cluster.clock.advance(100);
		}
	});

	// One that does not answer may be on the side of a partition where a replica that is unknown here is promoted.
	it('ends the leases if a node that is known does not answer', async () => {
		await start();
		for (const node of cluster.nodes) {
			node.unreachablePeers.add('n6');
		}

		expect(await writeAll()).toEqual(6);
		for (let round = 0; round < 50; round++) {
			await writeAll();
			await cluster.clock.advance(100);
		}

		expect(await writeAll()).toEqual(0);
	});

	// The replica that does not answer may be fenced on the other side of a partition, where it is promoted.
	it('ends the leases if a replica does not answer', async () => {
		await start();
		for (const node of cluster.nodes) {
			cutConnections(node, ['i-3']);
		}

		for (let round = 0; round < 50; round++) {
			await writeAll();
			await cluster.clock.advance(100);
		}

		expect(await writeAll()).toEqual(0);
	});
});
