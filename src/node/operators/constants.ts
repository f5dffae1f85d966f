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
	/** Failed attempts of one address within the window before it has to wait. */
	failuresAllowed: 10,
	failureWindowMs: 60_000,
	/** Maximum number of addresses whose failures are counted; beyond it the oldest are dropped. */
	addressesRemembered: 1000,
	/** Maximum number of concurrent password checks; each takes some tens of milliseconds of CPU time. */
	checksAtOnce: 4,
	busyRetryMs: 1000,
	/** Time for which accepted credentials are cached, so that not every request needs a password check. */
	acceptedKeepMs: 600_000,
	acceptedRemembered: 100,
};

/** Options of the probes that ask the nodes which configuration they have in force. */
export const reachDefaults = {
	probeTimeoutMs: 1000,
	probesAtOnce: 32,
	/** Time for which answers are reused, since many pages may watch one change. */
	keepMs: 1000,
};

/** Options of the status. */
export const statusDefaults = {
	/** Maximum wait for the answers of other nodes; what is missing by then is shown as last known. */
	waitMs: 1000,
	/** Maximum age of another node's view of a group; an older one counts as unknown. */
	forgetMs: 10_000,
	/** Time for which views received from homes are reused, since many pages may watch the status. */
	keepMs: 1000,
	/** Time that one home has to answer with its view of a group. */
	groupViewTimeoutMs: 500,
	/** Maximum number of homes of one group that are asked, one after the other until one answers. */
	homesAsked: 3,
	groupsAtOnce: 16,
	/** Entries behind its primary from which a replica counts as lagging. */
	laggingEntries: 1000,
	/** Time that the newest configuration has to reach all nodes; after it, a node with an older one counts as degraded. */
	splitAfterMs: 10_000,
	/** Maximum number of nodes with the same problem that are named one by one; more are summarised. */
	namedOneByOne: 4,
	/** Maximum number of findings that are listed; further ones are only counted. */
	degradedLines: 40,
};

/** Options of the record of the last failover. */
export const failoverRecordDefaults = {
	partition: 'status',
	sort: 'lastFailover',
	/** Time for which the record read from the table is reused. */
	keepMs: 5000,
	/** Maximum number of attempts to write the record, which is then given up: it is only displayed, and nothing depends on it. */
	attempts: 6,
	/** Backoff after the first failed write; doubles with each further one. */
	retryMs: 500,
};

/** Options of the readiness. */
export const readinessDefaults = {
	/** Time between two connectivity checks. */
	lookMs: 1000,
	probeTimeoutMs: 500,
	/** Maximum number of nodes probed in one check, one after the other until one answers. */
	nodesAsked: 3,
	/** Consecutive failed connectivity checks before the node counts as cut off. */
	missesToCutOff: 3,
};

/** Options of the client. */
export const clientDefaults = {
	timeoutMs: 15_000,
	attempts: 3,
	retryPauseMs: 1000,
};

/** Default and maximum number of entries in one response. */
export const pageSizes = {
	changes: 20,
	changesMaximum: 100,
	audit: 50,
	auditMaximum: 200,
} as const;
