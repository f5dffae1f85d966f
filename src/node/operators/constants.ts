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
