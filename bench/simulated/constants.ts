/**
 * Sizes of the benchmarks on the virtual clock.
 */

/** Sizes of the benchmark of replica reads. */
export const readBenchSizes = {
	sessions: 48,
	/** Mean time between two statements of a session. */
	thinkMs: 200,
	/** Virtual time that is measured. */
	measuredMs: 30_000,
	/** One statement in so many is a write. */
	writeInterval: 10,
	/** Time for which the baseline sends a session to the primary after its write. */
	pinMs: 2000,
	/** Age that aged reads accept. */
	maximumAgeMs: 1000,
	seeds: [1, 2],
} as const;

/** Sizes of the benchmark of failovers. */
export const failoverBenchSizes = {
	/** Callers that write, spread over the zones. */
	writers: 8,
	/** Time between two writes of one caller. */
	thinkMs: 20,
	/** Virtual time of load before the event. */
	beforeMs: 1000,
	/** Virtual time of load after the event. */
	afterMs: 6000,
	runs: 12,
} as const;

/** Lag of the aims: half of the entries within 20 ms, all but one in a hundred within 500 ms. */
export const benchLag = {p50Ms: 20, p99Ms: 500} as const;

/** Sizes of the benchmark of overload. */
export const overloadBenchSizes = {
	/** Loads as multiples of what the primary's slots can run. */
	loads: [2, 5],
	calmLoad: 0.5,
	slots: 3,
	/** Long enough that the primary, not the machine, is the limit. */
	serviceTimeMs: 20,
	heavyCallers: 6,
	/** Load of the light caller, as a share of the capacity. */
	lightShare: 0.05,
	deadlineMs: 500,
	/** A refusal within this time counts as one at once; the way alone takes up to 10 ms. */
	earlyMs: 50,
	calmMs: 3000,
	overloadMs: 10_000,
	afterMs: 10_000,
} as const;
