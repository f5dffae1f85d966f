/**
 * These tests guard against statements that run in another caller's transaction after the home that held
 * their own one has started again.
 */
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {cutConnections, databases, LineTestCluster} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';
import {answerStartsWith} from './line-test-session.js';
import type {LineTestSession} from './line-test-session.js';

/** Number of nodes: too many for every node to connect to every endpoint. */
const nodeCount = 24;

/** Number of transactions that begin before the restart, and of those that begin after it. */
const transactionCount = 8;

describe('a home that starts again', () => {
	let cluster: LineTestCluster;

	beforeEach(async () => {
		cluster = new LineTestCluster();
		// Nodes with the same seed would all choose the same home.
		cluster.seedOf = name => Number(name.slice(1));
		await cluster.start(nodeCount);
	});

	afterEach(() => {
		cluster.dispose();
	});

	function homesOfPrimary(): LineTestNode[] {
		const [observer] = cluster.nodes;
		const primary = observer.registry.endpoint('i-1')!;
		const names = new Set(observer.fleet.homes(primary).map(({name}) => name));
		return cluster.nodes.filter(({self}) => names.has(self.name));
	}

	/** Begins transactions at the same time, each of which writes an item of its own; every home holds some of them. */
	async function begin(prefix: string): Promise<LineTestSession[]> {
		const homes = homesOfPrimary();
		const sessions = cluster.nodes.filter(node => !homes.includes(node)).slice(0, transactionCount).map(node => node.session(databases.primary));
		expect(await sendAll(sessions, () => 'BEGIN')).toEqual(sessions.map(() => 'COMPLETE'));
		expect(await sendAll(sessions, index => `WRITE ${prefix}${index} first`)).toEqual(sessions.map(() => 'COMPLETE'));
		expect(homes.map(home => home.logged('transactionHeld').length > 0)).toEqual(homes.map(() => true));
		return sessions;
	}

	/** Sends a statement over each session at the same time; resolves to the first word of each answer, or to the code of an error. */
	async function sendAll(sessions: readonly LineTestSession[], textOf: (index: number) => string): Promise<string[]> {
		const answers = await cluster.clock.advanceUntil(Promise.all(sessions.map(async (session, index) => session.start(textOf(index)))));
		return answers.map(answer => answer.replace(/^ERROR /v, '').split(/[ \|]/v, 1)[0]);
	}

	async function restartHomes(): Promise<void> {
		const homes = homesOfPrimary().map(home => cluster.restart(home));
		await cluster.clock.advance(500);
		expect(homes.every(({registry}) => registry.endpoint('i-1') !== undefined)).toEqual(true);
	}

	function committed(prefix: string): string[] {
		const instance = cluster.group.instance('i-1');
		return Array.from({length: transactionCount}, (_, index) => `${prefix}${index}`).filter(item => instance.read(item) !== undefined);
	}

	it('runs no statement of an earlier transaction in one that began since', async () => {
		const earlier = await begin('a');
		await restartHomes();
		const later = await begin('b');

		expect(await sendAll(earlier, index => `WRITE a${index} second`)).toEqual(earlier.map(() => 'ABORTED'));
		expect(await sendAll(later, index => `WRITE b${index} second`)).toEqual(later.map(() => 'COMPLETE'));
		expect(await sendAll(later, () => 'COMMIT')).toEqual(later.map(() => 'COMPLETE'));
		expect([committed('a'), committed('b').length]).toEqual([[], transactionCount]);
	});

	it('commits nothing for a caller whose transaction was lost', async () => {
		const earlier = await begin('a');
		await restartHomes();
		const later = await begin('b');

		expect(await sendAll(earlier, () => 'COMMIT')).toEqual(earlier.map(() => 'ABORTED'));
		expect([committed('a'), committed('b')]).toEqual([[], []]);
		expect(await sendAll(later, () => 'COMMIT')).toEqual(later.map(() => 'COMPLETE'));
	});

	it('rolls no transaction back that began since when a caller rolls back an earlier one', async () => {
		const earlier = await begin('a');
		await restartHomes();
		const later = await begin('b');

		await sendAll(earlier, () => 'ROLLBACK');
		expect(await sendAll(later, () => 'COMMIT')).toEqual(later.map(() => 'COMPLETE'));
		expect(committed('b').length).toEqual(transactionCount);
	});
});

describe('a relay of a small fleet that starts again', () => {
	let cluster: LineTestCluster;

	beforeEach(async () => {
		cluster = new LineTestCluster();
		await cluster.start(4);
		// Only n2 reaches the primary.
		for (const node of cluster.nodes.filter(({self}) => self.name !== 'n2')) {
			cutConnections(node, ['i-1']);
		}

		await cluster.clock.advance(1000);
	});

	afterEach(() => {
		cluster.dispose();
	});

	/** Begins a transaction as soon as the node has found the relay, and writes an item. */
	async function begin(node: LineTestNode): Promise<LineTestSession> {
		for (let tries = 0; tries < 20; tries++) {
			const session = node.session(databases.primary);
			await session.send('BEGIN');
			if (await answerStartsWith(session.send('WRITE x 1'), 'COMPLETE')) {
				return session;
			}

			await cluster.clock.advance(100);
		}

		throw new Error('no relay was found');
	}

	it('commits nothing for a caller whose transaction was lost', async () => {
		const [earlierNode, relay, laterNode] = cluster.nodes;
		const earlier = await begin(earlierNode);
		const started = cluster.restart(relay);
		const later = await begin(laterNode);
		expect(started.logged('transactionHeld').length).toEqual(1);
		expect(await answerStartsWith(earlier.send('COMMIT'), 'ERROR ABORTED the transaction was rolled back because its connection was lost')).toEqual(true);
		expect(await answerStartsWith(later.send('COMMIT'), 'COMPLETE')).toEqual(true);
	});
});
