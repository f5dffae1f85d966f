/**
 * Load on a fleet of the stand-in: statements that arrive at random times at all nodes, the share that
 * is answered within the response-time goal, and whether each ran as it was sent.
 */
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {pauseFor} from '../../src/common/lifecycle/timing.js';
import {CallerRecord} from './caller-record.js';
import type {SessionStatement} from './caller-record.js';
import {InstanceLoad} from './instance-load.js';
import {databases} from './line-test-cluster.js';
import type {LineTestCluster} from './line-test-cluster.js';
import type {LineTestSession} from './line-test-session.js';
import {describeViolation, RanAsSent} from './ran-as-sent.js';

/** Parameters of a load. */
export type FleetLoadOptions = {
	readonly seed: number;
	/** Statements per second over all nodes. */
	readonly perS: number;
	readonly durationMs: number;
	readonly goalMs: number;
	/** Share of the statements that are writes. */
	readonly writeShare: number;
	/** Whether every second session prepares its statements, and sets a value. */
	readonly arePrepared?: boolean;
};

/** Outcome of a load; `late` were answered after the goal. */
export type FleetLoadResult = {
	readonly sent: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	/** Statements that did not run as they were sent. */
	readonly violations: readonly string[];
};

/** A session, and what was sent in it. */
type LoadSession = {readonly session: LineTestSession; readonly record: CallerRecord};

/** Sessions that each node has open. */
const sessionsPerNode = 12;

/** What every second session sends first where statements are prepared: statements of several words, and a value. */
const preparation: readonly SessionStatement[] = [
	{
		kind: 'prepare', name: 'r', isWrite: false, shape: 'q0 READ  ni ',
	},
	{
		kind: 'prepare', name: 'w', isWrite: true, shape: 'q0',
	},
	{kind: 'set', name: 'constructor', value: ' a  b'},
];

/** Gives every instance slots, a queue and working times. */
export function giveInstancesWork(cluster: LineTestCluster, seed: number, meanMs: number, maximumMs: number): InstanceLoad[] {
	return cluster.group.instances.map((instance, index) => {
		const random = new SeededRandom(seed + index);
		instance.slots = 4;
		instance.maximumConnections = 72;
		const load = new InstanceLoad({meanMs, maximumMs, random: () => random.next()});
		instance.load = load;
		return load;
	});
}

/** Sends statements through all nodes and advances the clock until all are answered. */
export async function runFleetLoad(cluster: LineTestCluster, options: FleetLoadOptions): Promise<FleetLoadResult> {
	const {clock, nodes} = cluster;
	const random = new SeededRandom(options.seed);
	const checks = new RanAsSent();
	cluster.group.runListener = run => {
		checks.recordRun(run);
	};

	const idle = nodes.map(node => Array.from({length: sessionsPerNode}, (_, index): LoadSession =>
		({session: node.session(databases.own), record: new CallerRecord(`${node.self.name}.${index}`, checks)})));
	const times: number[] = [];
	const pending: Array<Promise<void>> = [];
	let sent = 0;
	let late = 0;
	let refused = 0;

	async function prepare({session, record}: LoadSession): Promise<void> {
		for (const statement of preparation) {
			const answer = await session.start(record.send('', statement));
			record.noteAnswer(statement, answer.includes('COMPLETE'));
		}
	}

	async function send(used: LoadSession, statement: SessionStatement, returnTo: LoadSession[]): Promise<void> {
		const sentAtMs = clock.nowMs();
		const id = `q${options.seed}.${sent}`;
		const answer = await used.session.start(used.record.send(id, statement), id);
		returnTo.push(used);
		if (answer.includes('COMPLETE')) {
			times.push(clock.nowMs() - sentAtMs);
			late += clock.nowMs() - sentAtMs > options.goalMs ? 1 : 0;
		} else {
			refused += 1;
		}
	}

	async function arrive(): Promise<void> {
		const endMs = clock.nowMs() + options.durationMs;
		while (clock.nowMs() < endMs) {
			await pauseFor(clock, -1000 / options.perS * Math.log(1 - random.next()));
			const sessions = idle[Math.floor(random.next() * nodes.length)];
			const [used] = sessions.splice(Math.floor(random.next() * sessions.length), 1);
			if (used) {
				sent += 1;
				const isWrite = random.next() < options.writeShare;
				pending.push(send(used, statementOf(used.record, isWrite, sent), sessions));
			}
		}
	}

	if (options.arePrepared === true) {
		await clock.advanceUntil(Promise.all(idle.flatMap(sessions => sessions.filter((_, index) => index % 2 === 1)).map(async session => prepare(session))));
	}

	await clock.advanceUntil(arrive());
	await clock.advanceUntil(Promise.all(pending));
	times.sort((a, b) => a - b);
	const quantile = (share: number): number => Math.round(times.at(Math.floor(share * (times.length - 1))) ?? 0);
	return {
		sent, late, refused, inTime: times.length - late, p50Ms: quantile(0.5), p99Ms: quantile(0.99), violations: checks.violations().map(violation => describeViolation(violation)),
	};
}

/** A read or a write of one of 50 items, with a prepared statement in sessions that have some. */
function statementOf({prepared}: CallerRecord, isWrite: boolean, count: number): SessionStatement {
	const item = `k${count % 50}`;
	if (prepared.size > 0) {
		return {kind: 'execute', name: isWrite ? 'w' : 'r', parameters: isWrite ? `${item} ${count}` : item};
	}

	return isWrite ? {kind: 'write', item, data: String(count)} : {kind: 'read', item};
}
