/**
 * Plans of runs: the world, the load and the faults that belong to a seed.
 */
import {SeededRandom} from '../src/common/random/seeded-random.js';
import type {Random} from '../src/common/services/services.js';
import {faultNames, type FaultName} from './faults/fault-actions.js';
import type {RunPlan} from './run.js';
import type {WorldPlan} from './world/world-plan.js';

/** Share of the faults that one run may inject; each seed selects others. */
const faultShare = 0.6;

/** Share of the runs whose groups have five instances. */
const largeGroupShare = 0.15;

/** Share of the runs with short pauses between faults. */
const heavyShare = 0.2;

const heavyPauseMs = 400;

const lags = [
	{p50Ms: 20, p99Ms: 500},
	{p50Ms: 20, p99Ms: 500},
	{p50Ms: 2, p99Ms: 20},
	{p50Ms: 200, p99Ms: 2000},
] as const;

/** With the longest service time and the shortest pauses the load exceeds the capacity of the slots. */
const serviceTimesMs = [0.5, 0.5, 2, 8, 40] as const;

const pausesMs = [40, 100, 150, 250] as const;

/** The varied plan of a seed: shape of the world, load and faults differ between seeds. */
export function variedPlanOf(seed: number, durationMs: number): RunPlan {
	const random = new SeededRandom((seed * 31) + 7);
	return {
		...planOf(seed, durationMs),
		world: variedWorld(seed, random),
		callerCount: 6 + Math.floor(random.next() * 8),
		pauseMs: pick(random, pausesMs),
		writeShare: 0.1 + (random.next() * 0.4),
		interruptionShare: random.next() * 0.1,
		faultPauseMs: random.next() < heavyShare ? heavyPauseMs : 1500 + (random.next() * 4000),
		faultChains: 1 + Math.floor(random.next() * 4),
		faultNames: someFaults(random),
	};
}

/** The plan of a seed: three zones, one or two groups, load and overlapping faults. */
export function planOf(seed: number, durationMs: number): RunPlan {
	return {
		world: worldOf(seed, 3, 1 + (seed % 2)),
		callerCount: 10,
		durationMs,
		recoveryMs: 15_000,
		recoveryBoundMs: 10_000,
		pauseMs: 150,
		writeShare: 0.25,
		transactionShare: 0.15,
		agedReadShare: 0.2,
		tokenlessReadShare: 0.1,
		maximumAgeMs: 1500,
		interruptionShare: 0,
		faultPauseMs: 3000,
		faultChains: 2,
		sabotage: {},
	};
}

function worldOf(seed: number, zoneCount: number, groupCount: number): WorldPlan {
	return {
		seed,
		zones: Array.from({length: zoneCount}, (_, index) => `zone-${index + 1}`),
		nodeCount: zoneCount * 2,
		groups: Array.from({length: groupCount}, (_, index) => `group${index}`),
		instancesPerGroup: 3,
		slots: 3,
		connections: 20,
		serviceTimeMs: 0.5,
		lag: lags[0],
		delays: {withinZoneMs: 0.2, betweenZonesMs: 1, spreadMs: 0.5},
		nodeOptions: {},
		rules: [],
	};
}

function variedWorld(seed: number, random: Random): WorldPlan {
	const zoneCount = 2 + Math.floor(random.next() * 3);
	const world = worldOf(seed, zoneCount, 1 + Math.floor(random.next() * 3));
	return {
		...world,
		nodeCount: world.nodeCount + Math.floor(random.next() * 3) - 1,
		instancesPerGroup: random.next() < largeGroupShare ? 5 : 3,
		slots: 2 + Math.floor(random.next() * 3),
		connections: pick(random, [20, 40]),
		serviceTimeMs: pick(random, serviceTimesMs),
		lag: pick(random, lags),
		delays: {withinZoneMs: 0.2, betweenZonesMs: pick(random, [1, 1, 3]), spreadMs: 0.5},
	};
}

function someFaults(random: Random): readonly FaultName[] {
	const chosen = faultNames.filter(() => random.next() < faultShare);
	return chosen.length > 0 ? chosen : faultNames;
}

function pick<T>(random: Random, items: readonly T[]): T {
	return items[Math.floor(random.next() * items.length)];
}
