/**
 * Plans of runs: the shape that a seed gives to a world and its load.
 */
import type {RunPlan} from './run.js';

/** The plan of a seed: three zones, one or two groups, load and overlapping faults. */
export function planOf(seed: number, durationMs: number): RunPlan {
	const groupCount = 1 + (seed % 2);
	return {
		world: {
			seed,
			zones: ['zone-1', 'zone-2', 'zone-3'],
			nodeCount: 6,
			groups: Array.from({length: groupCount}, (_, index) => `group${index}`),
			instancesPerGroup: 3,
			slots: 3,
			connections: 20,
			serviceTimeMs: 0.5,
			lag: {p50Ms: 20, p99Ms: 500},
			delays: {withinZoneMs: 0.2, betweenZonesMs: 1, spreadMs: 0.5},
			nodeOptions: {},
			rules: [],
		},
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
		faultPauseMs: 3000,
		faultChains: 2,
		sabotage: {},
	};
}
