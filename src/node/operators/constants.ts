/**
 * Defaults and bounds of the operators' server.
 */

/** Options of the server. */
export const operatorServerDefaults = {
	/** Larger bodies are refused before they are read. */
	bodyLimitBytes: 65_536,
	/** A request that has not arrived whole within this time is dropped. */
	requestTimeoutMs: 10_000,
	/** Whether `/metrics` is answered without credentials. */
	isMetricsOpen: true,
};

/** Options of the authentication. */
export const authenticationDefaults = {
	/** Failures of one address within the window before it is told to wait. */
	failuresAllowed: 10,
	failureWindowMs: 60_000,
	/** Addresses whose failures are remembered; the oldest are forgotten beyond it. */
	addressesRemembered: 1000,
	/** Password checks at one time; each costs a few ten milliseconds of a core. */
	checksAtOnce: 4,
	busyRetryMs: 1000,
	/** Accepted credentials are remembered this long, so that not every request costs a check. */
	acceptedKeepMs: 600_000,
	acceptedRemembered: 100,
};

/** Options of asking the nodes which configuration they have in force. */
export const reachDefaults = {
	probeTimeoutMs: 1000,
	probesAtOnce: 32,
	/** An answer is used again for this long; many pages may watch one change. */
	keepMs: 1000,
};

/** Options of the status. */
export const statusDefaults = {
	/** Longest wait for what is asked of others; what has not come by then shows as it was last known. */
	waitMs: 1000,
	/** Longest age of what another node said about a group before it counts as not known. */
	forgetMs: 10_000,
	/** What a home said about a group is used again for this long; many pages may watch. */
	keepMs: 1000,
	/** Time that one home has to say what it knows of a group. */
	groupViewTimeoutMs: 500,
	/** Homes of one group that are asked, one after the other. */
	homesAsked: 3,
	groupsAtOnce: 16,
	/** Entries behind its primary from which a replica counts as lagging. */
	laggingEntries: 1000,
	/** Time that the newest configuration has to reach a node before it counts as split. */
	splitAfterMs: 10_000,
	/** Things of one kind that are named one by one. */
	namedOneByOne: 4,
	/** Lines of what is degraded; the rest is counted. */
	degradedLines: 40,
};

/** Options of the record of the last failover. */
export const failoverRecordDefaults = {
	partition: 'status',
	sort: 'lastFailover',
	/** What the table said is used again for this long. */
	keepMs: 5000,
	/** Writes of one record; it is shown to people, and nothing rests on it. */
	attempts: 6,
	/** Pause after a failed write; doubles with each. */
	retryMs: 500,
};

/** Options of the readiness. */
export const readinessDefaults = {
	/** Time between two looks for somebody who can be reached. */
	lookMs: 1000,
	probeTimeoutMs: 500,
	/** Nodes asked in one look, one after the other until one answers. */
	nodesAsked: 3,
	/** Looks in a row that reached nobody before the node counts as cut off. */
	missesToCutOff: 3,
};

/** Options of the client. */
export const clientDefaults = {
	timeoutMs: 15_000,
	attempts: 3,
	retryPauseMs: 1000,
};

/** Entries answered at one time. */
export const pageSizes = {
	changes: 20,
	changesMaximum: 100,
	audit: 50,
	auditMaximum: 200,
} as const;
