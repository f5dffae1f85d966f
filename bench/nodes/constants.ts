/**
 * Sizes and bounds of the benchmark of nodes in a large fleet.
 */

/** The fleet that each build runs: two large and four small hosts in each zone, as in the deployments of docs/design/load-control.md. */
export const fleetPlan = {
	zones: ['a', 'b', 'c'],
	nodesPerZone: 6,
	largeHostsPerZone: 2,
	cores: {large: 1.35, small: 0.324},
	/** Number of groups; each has one instance in each zone. */
	groups: 6,
	slots: 4,
	connections: 56,
	/** Interval at which each instance updates its row in the store. */
	reportEveryMs: 1200,
	/** Time that the stand-in takes for one statement. */
	workMs: 2,
} as const;

/** Durations of the phases, in milliseconds. */
export const phases = {
	/** From the moment when all nodes of both builds are ready until the load begins; the processes do what they put off at their start. */
	settleMs: 8000,
	idleMs: 10_000,
	lightMs: 10_000,
	heavyMs: 12_000,
	/** Time after a load before the next phase. */
	restMs: 1000,
} as const;

/** Number of sessions at a node, over which its statements are spread. */
export const sessionsPerNode = 6;

/** Statements per second and node: few on all nodes, and more on the nodes of one role, so that the cost of one statement shows beside that of an idle node. */
export const loadPerS = {light: 3, heavy: 20} as const;

/** Number of statements of a session between two writes. */
export const writeEvery = 5;

/** Maximum accepted ratios to the build that is compared with. */
export const maximumRatios = {
	start: 0.5, idle: 0.5, forwarded: 0.67, idleMessages: 0.5,
} as const;
