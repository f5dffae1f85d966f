/**
 * Sizes and budgets of the benchmark of control cost.
 */

/** Sizes that slopes are taken over. */
export const controlSizes = {
	hosts: [100, 400, 870],
	served: [3, 10, 30],
	groups: [100, 400, 970],
	/** What stays as it is while something else grows. */
	fewHosts: 20,
	instances: 3,
	zones: 6,
	/** Real time of one window. */
	windowMs: 3000,
	/** Time in which a node attaches and settles before a window. */
	settleMs: 2000,
	/** Time between two systems, in which what the last one held is let go. */
	restMs: 600,
	listReads: 20,
	membershipChanges: 20,
	configurationChanges: 10,
	heartbeatMs: 500,
};

/** The size that the budgets hold for. */
export const targetSize = {
	hosts: 870,
	groups: 970,
	/** Endpoints that a node serves: 970 groups of 3 over 870 hosts. */
	served: 970 * 3 / 870,
	callerConnections: 3793,
	changesPerDay: 660,
	replacementsPerDay: 340,
};

/** What control may use of one node, and all nodes of the platform. */
export const budgets = {
	coreShare: 0.034,
	memoryBytes: 32 * 1024 * 1024,
	bytesPerSecond: 4096,
	platformReadsPerSecond: 2000,
	platformWritesPerSecond: 400,
};

/** Bytes of one message that are not the payload: HTTP/2 and gRPC frame headers. Headers of lower layers are not counted. */
export const linkOverheadBytes = 14;
