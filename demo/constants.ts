/**
 * Sizes and timeouts of the demo, and of the supervisor that starts a whole system on one machine.
 */

/** Timeout for a started process to report that it is ready. */
export const startTimeoutMs = 20_000;

/** Time for a process to stop after SIGTERM before it is killed. */
export const stopGraceMs = 5000;

/** Timeout after the start for every group to accept writes. */
export const servingTimeoutMs = 30_000;

/** Pause between two attempts while waiting for something. */
export const retryPauseMs = 50;

/** Timeout of a client's attempt to connect. */
export const clientConnectTimeoutMs = 2000;

/** Number of lines at the end of a process's log that are shown when it fails. */
export const shownLogLines = 6;

/** Sizes of the workload. */
export const workload = {
	/** Items in stock at the start. */
	items: 40,
	/** Number of callers that browse. */
	browsers: 4,
	/** Number of callers that sell. */
	sellers: 2,
	/** Number of statements of each browser, and of sales of each seller. */
	readsPerBrowser: 150,
	salesPerSeller: 25,
	/** Pause of a caller between two requests. */
	thinkMs: 5,
	/** Maximum number of retries of a request after refusals that name a time for a retry. */
	maximumRetries: 5,
	/** Number of statements on each of the two connections in the latency comparison. */
	latencySamples: 200,
	/** Number of acknowledged writes after which a failover counts as over. */
	writesAfterFailover: 10,
	/** Timeout of the failover part for writes to be acknowledged and for the endpoint to rejoin. */
	failoverBoundMs: 30_000,
	/** Pause between two writes of the failover part; the resolution of the gap. */
	failoverWritePauseMs: 10,
} as const;
