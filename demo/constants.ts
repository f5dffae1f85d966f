/**
 * Numbers of the demo and of the supervisor that starts a whole system on one machine.
 */

/** Longest time until a started process says that it is ready. */
export const startTimeoutMs = 20_000;

/** Time that a process is given to stop by itself before it is ended. */
export const stopGraceMs = 5000;

/** Longest time until every group takes writes after the start. */
export const servingTimeoutMs = 30_000;

/** Pause between two tries of something that is not there yet. */
export const retryPauseMs = 50;

/** Longest wait of a client for a connection. */
export const clientConnectTimeoutMs = 2000;

/** Lines of a process's log that are shown when it fails. */
export const shownLogLines = 6;

/** Amounts of the workload. */
export const workload = {
	/** Items in stock at the start. */
	items: 40,
	/** Callers that browse. */
	browsers: 4,
	/** Callers that sell. */
	counters: 2,
	/** Statements of each browser and sales of each counter. */
	browserReads: 150,
	counterSales: 25,
	/** Pause of a caller between two requests. */
	thinkMs: 5,
	/** Times that a caller asks again when it is told to come back. */
	maximumRetries: 5,
	/** Statements of each way in the latency comparison. */
	latencySamples: 200,
	/** Writes after a failover that show that it is over. */
	writesAfterFailover: 10,
	/** Longest gap that the failover part waits for. */
	failoverBoundMs: 30_000,
	/** Pause between two writes of the failover part; the resolution of the gap. */
	failoverWritePauseMs: 10,
} as const;
