/**
 * Options of the text protocol's sockets, in one table. Times are in milliseconds.
 */

/** Default options of the connections from callers and to endpoints. */
export const lineDefaults = {
	/** Timeout for opening a connection to an endpoint; its start-up takes about 12 ms, plus the wait for a slot. */
	connectTimeoutMs: 700,
	/** Idle time after which the kernel sends TCP keep-alive probes. */
	keepAliveMs: 5000,
	/** Time within which a caller must send its start-up message. */
	startUpTimeoutMs: 5000,
	/** Maximum number of caller connections; further ones are closed at once. */
	maximumCallers: 3900,
	/** Number of bytes that may be read ahead from a caller while its statement runs; beyond it, reading is paused. */
	maximumAheadBytes: 1_100_000,
	/** Maximum number of connections that wait to be accepted. */
	backlog: 1024,
} as const;

/** The options as the settings may override them. */
export type LineOptions = {readonly [Name in keyof typeof lineDefaults]: number};
