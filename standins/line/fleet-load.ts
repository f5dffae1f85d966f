/**
 * Load on a fleet of the stand-in: statements that arrive at random times at all nodes, and the share
 * that is answered within the response-time goal.
 */
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {pauseFor} from '../../src/common/lifecycle/timing.js';
import {InstanceLoad} from './instance-load.js';
import {databases} from './line-test-cluster.js';
import type {LineTestCluster} from './line-test-cluster.js';
import type {LineTestSession} from './line-test-session.js';

/** Parameters of a load. */
export type FleetLoadOptions = {
	readonly seed: number;
	/** Statements per second over all nodes. */
	readonly perS: number;
	readonly durationMs: number;
	readonly goalMs: number;
	/** Share of the statements that are writes. */
	readonly writeShare: number;
};

/** Outcome of a load; `late` were answered after the goal. */
export type FleetLoadResult = {
	readonly sent: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

/** Sessions that each node has open. */
const sessionsPerNode = 12;

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
	const idle = nodes.map(node => Array.from({length: sessionsPerNode}, () => node.session(databases.own)));
	const times: number[] = [];
	const pending: Array<Promise<void>> = [];
	let sent = 0;
	let late = 0;
	let refused = 0;

	async function send(session: LineTestSession, text: string, returnTo: LineTestSession[]): Promise<void> {
		const sentAtMs = clock.nowMs();
		const answer = await session.start(text, `q${sent}`);
		returnTo.push(session);
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
			const [session] = sessions.splice(Math.floor(random.next() * sessions.length), 1);
			if (session) {
				sent += 1;
				const isWrite = random.next() < options.writeShare;
				pending.push(send(session, isWrite ? `WRITE k${sent % 50} ${sent}` : `READ k${sent % 50}`, sessions));
			}
		}
	}

	await clock.advanceUntil(arrive());
	await clock.advanceUntil(Promise.all(pending));
	times.sort((a, b) => a - b);
	const quantile = (share: number): number => Math.round(times.at(Math.floor(share * (times.length - 1))) ?? 0);
	return {
		sent, late, refused, inTime: times.length - late, p50Ms: quantile(0.5), p99Ms: quantile(0.99),
	};
}
