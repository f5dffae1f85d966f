/**
 * These tests guard against requests that a node has read and passed on, and that get no answer because
 * the node stops.
 */
import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {pauseFor} from '../../src/common/lifecycle/timing.js';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {InstanceLoad} from './instance-load.js';
import {databases, LineTestCluster} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';
import {graceMs, ServedNode} from './served-node.js';
import type {CallerAnswer, StreamCaller} from './stream-caller.js';

/** Time from the start of a drain to the abort of open transactions: half of the grace time. */
const abortMs = 3000;

/** Time from the start of a drain to the refusal of what other nodes send: three quarters of the grace time. */
const forwardedMs = 4500;

/** Time from the start of a drain to its end. */
const endMs = 5400;

/** Interval between two statements of a transaction that is kept open; transactions that are idle for 3 s are aborted at any time. */
const keepOpenEveryMs = 500;

/** Creates a load of 5 to 35 ms a statement on three slots. */
function createLoad(seed: number): InstanceLoad {
	const random = new SeededRandom(seed);
	return new InstanceLoad({
		slots: 3, meanMs: 35, maximumMs: 35, random: () => random.next(),
	});
}

/** The first word of an answer, or the code of an error; `cut` if it is not complete. */
function outcomeOf({lines, isCut}: CallerAnswer): string {
	return isCut ? 'cut' : lines[0].replace(/^ERROR /v, '').split(' ', 1)[0];
}

describe('a node that stops', () => {
	let cluster: LineTestCluster;
	let served: ServedNode;

	beforeEach(async () => {
		cluster = new LineTestCluster();
		await cluster.start(2);
		for (const [index, instance] of cluster.group.instances.entries()) {
			instance.load = createLoad(index + 1);
		}

		served = new ServedNode(cluster.nodes[0], cluster);
	});

	afterEach(() => {
		cluster.dispose();
	});

	async function send(caller: StreamCaller, text: string): Promise<string> {
		return outcomeOf(await cluster.clock.advanceUntil(caller.send(text)));
	}

	/** Sends one statement after the other until the node refuses the session or ends it; resolves to the outcomes. */
	async function sendAll(caller: StreamCaller, next: (last: string) => Promise<string>): Promise<string[]> {
		const outcomes = [''];
		for (;;) {
			const answer = await caller.send(await next(outcomes.at(-1)!));
			outcomes.push(outcomeOf(answer));
			// A caller whose transaction was lost rolls it back; one that is refused outside of a transaction goes elsewhere.
			if (answer.isCut || (outcomes.at(-1) === 'ABORTED' && answer.lines.at(-1)?.startsWith('READY I'))) {
				return outcomes;
			}
		}
	}

	/** Statements of transactions that follow on each other without a pause, with short pauses inside. */
	function busyTransactions(seed: number): (last: string) => Promise<string> {
		const random = new SeededRandom(seed);
		let left = 0;
		return async last => {
			if (last === 'ABORTED' || last === 'BUSY') {
				left = 0;
				return 'ROLLBACK';
			}

			if (left === 0) {
				left = 7 + Math.floor(random.next() * 5);
				return 'BEGIN';
			}

			left -= 1;
			if (left === 0) {
				return 'COMMIT';
			}

			await pauseFor(cluster.clock, random.next() * 20);
			return left % 2 === 0 ? `WRITE k${seed} v${left}` : `READ k${seed}`;
		};
	}

	/** Stops the node, and keeps a transaction of the caller in use until a time in milliseconds after that. */
	async function stopWithTransaction(caller: StreamCaller, untilMs: number): Promise<{readonly stopped: Promise<void>}> {
		const {clock} = cluster;
		expect(await send(caller, 'BEGIN')).toEqual('COMPLETE');
		const atMs = clock.nowMs() + untilMs;
		const stopped = served.stop();
		while (atMs - clock.nowMs() > keepOpenEveryMs) {
			expect(await send(caller, 'READ x')).toEqual('COMPLETE');
			await clock.advance(keepOpenEveryMs / 2);
		}

		await clock.advance(atMs - clock.nowMs());
		return {stopped};
	}

	it('answers every request of callers that begin one transaction after the other', async () => {
		const callers = await Promise.all(Array.from({length: 8}, async () => served.open(databases.primary)));
		const runs = Promise.all(callers.map(async (caller, index) => sendAll(caller, busyTransactions(index + 1))));
		await cluster.clock.advance(500);
		await cluster.clock.advanceUntil(served.stop());
		const outcomes = await cluster.clock.advanceUntil(runs);
		expect(outcomes.flat().filter(outcome => outcome === 'cut').length).toEqual(0);
	});

	it('answers every request of callers that send one statement after the other', async () => {
		const callers = await Promise.all(Array.from({length: 8}, async () => served.open(databases.own)));
		const runs = Promise.all(callers.map(async (caller, index) => sendAll(caller, async () => `READ k${index}`)));
		await cluster.clock.advance(500);
		await cluster.clock.advanceUntil(served.stop());
		const outcomes = await cluster.clock.advanceUntil(runs);
		expect(outcomes.flat().filter(outcome => outcome === 'cut').length).toEqual(0);
	});

	it('refuses what begins too late, says that nothing ran, and closes the session', async () => {
		const caller = await served.open(databases.primary);
		const {stopped} = await stopWithTransaction(caller, abortMs);
		const answers = async (): Promise<CallerAnswer[]> => [await caller.send('READ x'), await caller.send('ROLLBACK'), await caller.send('BEGIN')];
		const [lost, rolledBack, begun] = await cluster.clock.advanceUntil(answers());
		expect(lost.lines).toEqual(['ERROR ABORTED the node is shutting down:  retry-after-ms=100', 'READY E -']);
		expect(rolledBack.lines).toEqual(['COMPLETE -', 'READY I -']);
		expect(begun.lines).toEqual(['ERROR ABORTED the node is shutting down:  retry-after-ms=100', 'READY I -']);
		await cluster.clock.advanceUntil(stopped);
		expect(caller.isEnded).toEqual(true);
	});

	it('lets a COMMIT that is on its way at the abort finish', async () => {
		const caller = await served.open(databases.primary);
		const {stopped} = await stopWithTransaction(caller, abortMs - 100);
		expect(await send(caller, 'WRITE x 1')).toEqual('COMPLETE');
		cluster.group.instances[0].load!.slowFactor = 20;
		expect(await send(caller, 'COMMIT')).toEqual('COMPLETE');
		await cluster.clock.advanceUntil(stopped);
	});

	it('says of a statement that its endpoint does not answer what is certain of it', async () => {
		cluster.configure(2, undefined, 60_000);
		await cluster.clock.advance(500);
		const [reader, writer] = [await served.open(databases.primary), await served.open(databases.primary)];
		served.node.connector.unanswered.add('s1');
		const answers = Promise.all([reader.send('READ x'), writer.send('WRITE x 1')]);
		await cluster.clock.advanceUntil(served.stop());
		const received = await answers;
		expect(received.map(({lines}) => lines)).toEqual([
			['ERROR ABORTED the node is shutting down:  retry-after-ms=100', 'READY I -'],
			['ERROR INDOUBT the outcome of the statement is unknown: the node is shutting down', 'READY I -'],
		]);
	});

	it('tells a caller that begins its session too late to go elsewhere', async () => {
		const late = served.connect();
		const stopped = served.stop();
		await cluster.clock.advance(abortMs + 100);
		const answer = await cluster.clock.advanceUntil(late.startUp(databases.primary));
		expect(answer.lines).toEqual(['ERROR ABORTED the node is shutting down:  retry-after-ms=100']);
		await cluster.clock.advanceUntil(stopped);
	});

	it('waits for a caller that reads its last answer slowly', async () => {
		const caller = await served.open(databases.primary);
		const value = 'v'.repeat(200_000);
		expect(await send(caller, `WRITE x ${value}`)).toEqual('COMPLETE');
		caller.pause();
		const answer = caller.send('READ x');
		await cluster.clock.advance(1000);
		const stopped = served.stop();
		await cluster.clock.advance(abortMs + 1000);
		caller.resume();
		const {lines, isCut} = await cluster.clock.advanceUntil(answer);
		expect({isCut, row: lines[0]}).toEqual({isCut: false, row: `DATAROW ${value}`});
		await cluster.clock.advanceUntil(stopped);
	});

	it('waits for a caller that reads nothing no longer than its grace time', async () => {
		const caller = await served.open(databases.primary);
		await send(caller, `WRITE x ${'v'.repeat(200_000)}`);
		caller.pause();
		void caller.send('READ x');
		await cluster.clock.advance(1000);
		const startedAtMs = cluster.clock.nowMs();
		await cluster.clock.advanceUntil(served.stop());
		expect(cluster.clock.nowMs() - startedAtMs).toBeLessThan(graceMs);
	});

	it('ends as soon as the last caller has been answered', async () => {
		const caller = await served.open(databases.primary);
		const startedAtMs = cluster.clock.nowMs();
		const {stopped} = await stopWithTransaction(caller, abortMs);
		expect(await send(caller, 'READ x')).toEqual('ABORTED');
		expect(await send(caller, 'ROLLBACK')).toEqual('COMPLETE');
		await cluster.clock.advanceUntil(stopped);
		expect(cluster.clock.nowMs() - startedAtMs).toBeLessThan(abortMs + 100);
	});
});

describe('a home of a large fleet that stops', () => {
	let cluster: LineTestCluster;
	let home: ServedNode;
	let others: LineTestNode[];

	beforeEach(async () => {
		cluster = new LineTestCluster();
		cluster.seedOf = name => Number(name.slice(1));
		await cluster.start(18);
		const [observer] = cluster.nodes;
		const homes = new Set(observer.fleet.homes(observer.registry.endpoint('i-1')!).map(({name}) => name));
		const node = cluster.nodes.find(({self}) => homes.has(self.name))!;
		home = new ServedNode(node, cluster);
		others = cluster.nodes.filter(({self}) => !homes.has(self.name)).slice(0, 8);
	});

	afterEach(() => {
		cluster.dispose();
	});

	it('ends the transactions of other nodes before its own end, and their callers learn that they are lost', async () => {
		const sessions = others.map(node => node.session(databases.primary));
		const sendAll = async (text: string): Promise<string[]> => cluster.clock.advanceUntil(Promise.all(sessions.map(async session => session.start(text))));
		await sendAll('BEGIN');
		await sendAll('WRITE x 1');
		const held = home.node.logged('transactionHeld').length;
		expect(held > 0 && held < sessions.length).toEqual(true);
		const stopped = home.stop();
		const refusedAtMs = cluster.clock.nowMs() + forwardedMs;
		while (cluster.clock.nowMs() <= refusedAtMs) {
			const answers = await sendAll('READ x');
			expect(answers.every(answer => answer.includes('COMPLETE'))).toEqual(true);
			await cluster.clock.advance(keepOpenEveryMs);
		}

		const answers = await sendAll('COMMIT');
		expect(answers.filter(answer => answer.startsWith('ERROR ABORTED')).length).toEqual(held);
		expect(answers.filter(answer => answer.startsWith('COMPLETE')).length).toEqual(sessions.length - held);
		await cluster.clock.advanceUntil(stopped);
		expect(home.node.logged('forwardedWorkCut')).toEqual([]);
	});

	it('cuts no COMMIT of another node', async () => {
		const sessions = others.map(node => node.session(databases.primary));
		const sendAll = async (text: string): Promise<string[]> => cluster.clock.advanceUntil(Promise.all(sessions.map(async session => session.start(text))));
		await sendAll('BEGIN');
		await sendAll('WRITE x 1');
		const ended = home.stop();
		const commitAtMs = cluster.clock.nowMs() + endMs - 50;
		while (cluster.clock.nowMs() < commitAtMs) {
			await cluster.clock.advance(Math.min(keepOpenEveryMs, commitAtMs - cluster.clock.nowMs()));
			await sendAll('READ x');
		}

		cluster.group.instances[0].load = new InstanceLoad({
			slots: 8, meanMs: 1e9, maximumMs: 200, random: () => 0.5,
		});
		const answers = await sendAll('COMMIT');
		expect(answers.filter(answer => answer.startsWith('ERROR INDOUBT'))).toEqual([]);
		await cluster.clock.advanceUntil(ended);
		expect(home.node.logged('forwardedWorkCut')).toEqual([]);
	});
});
