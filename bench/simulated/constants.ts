/**
 * Sizes of the benchmarks on a virtual clock.
 */

/** Sizes of the benchmark of replica reads. */
export const readBenchSizes = {
	sessions: 48,
	/** Mean time between two statements of a session. */
	thinkMs: 200,
	/** Duration of the measurement in virtual time. */
	measuredMs: 30_000,
	/** One statement in this many is a write. */
	writeInterval: 10,
	/** Time after a session's write for which the baseline sends the session's reads to the primary. */
	pinMs: 2000,
	/** Maximum age that reads with a stated age accept. */
	maximumAgeMs: 1000,
	seeds: [1, 2],
} as const;

/** Sizes of the benchmark of failovers. */
export const failoverBenchSizes = {
	/** Callers that write, spread over the zones. */
	writers: 8,
	/** Mean time between two writes of one caller. */
	thinkMs: 20,
	/** Virtual time of load before the event. */
	beforeMs: 1000,
	/** Virtual time of load after the event. */
	afterMs: 6000,
	runs: 12,
} as const;

/** Replication lag for which the aims are stated: half of the entries within 20 ms, 99 % within 500 ms. */
export const benchLag = {p50Ms: 20, p99Ms: 500} as const;

/** Sizes of the benchmark of overload. */
export const overloadBenchSizes = {
	/** Loads as multiples of the capacity of the primary's slots. */
	loads: [2, 5],
	calmLoad: 0.5,
	slots: 3,
	/** Service time of a statement, long enough that the primary and not the machine is the bottleneck. */
	serviceTimeMs: 20,
	heavyCallers: 6,
	/** Load of the light caller as a share of the capacity. */
	lightShare: 0.05,
	deadlineMs: 500,
	/** A refusal within this time counts as immediate; the network alone takes up to 10 ms. */
	earlyMs: 50,
	calmMs: 3000,
	overloadMs: 10_000,
	afterMs: 10_000,
} as const;

/** Sizes of the burst against the queues of one endpoint. */
export const burstSizes = {
	slots: 4,
	homes: 2,
	/** Connections of one home that transactions may hold. */
	heldConnections: 10,
	/** Work of BEGIN and of COMMIT. */
	bracketMs: 0.5,
	organisations: 86,
	/** Loads as multiples of the capacity. */
	calmLoad: 0.7,
	load: 3,
	calmMs: 1000,
	burstMs: 3000,
	afterMs: 3000,
	/** Retries of a caller after refusals. */
	retries: 2,
	seeds: [1, 2, 3, 4],
} as const;
