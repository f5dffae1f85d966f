/**
 * Sizes and budgets of the benchmark that measures what control costs one node.
 */

/** Sizes at which the system is measured; slopes are taken from the smallest to the largest. */
export const controlSizes = {
	hosts: [100, 400, 870],
	served: [3, 10, 30],
	groups: [100, 400, 970],
	/** Number of hosts in measurements where hosts do not grow. */
	fewHosts: 20,
	instances: 3,
	zones: 6,
	/** Real time that one measured window lasts. */
	windowMs: 3000,
	/** Time for the node to attach to its endpoints and come to rest before a window. */
	settleMs: 2000,
	/** Pause before each system, in which the memory of the previous one can be released. */
	restMs: 600,
	listReads: 20,
	membershipChanges: 20,
	configurationChanges: 10,
	heartbeatMs: 500,
};

/** The system size to which the budgets apply. */
export const targetSize = {
	hosts: 870,
	groups: 970,
	/** Endpoints that a node serves: 970 groups of 3 over 870 hosts. */
	served: 970 * 3 / 870,
	callerConnections: 3793,
	changesPerDay: 660,
	replacementsPerDay: 340,
};

/** Resources that control may use on one node, and requests that all nodes together may send to the platform. */
export const budgets = {
	coreShare: 0.034,
	memoryBytes: 32 * 1024 * 1024,
	bytesPerSecond: 4096,
	platformReadsPerSecond: 2000,
	platformWritesPerSecond: 400,
};

/** Bytes that one message adds to its payload: HTTP/2 and gRPC frame headers. Headers of lower layers are not counted. */
export const linkOverheadBytes = 14;
