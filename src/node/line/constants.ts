/**
 * Options of the text protocol's sockets, in one table. Times are in milliseconds.
 */

/** Options of connections of callers and to endpoints. */
export const lineDefaults = {
	/** Longest wait for a connection to an endpoint; its start-up takes about 12 ms and waits for a slot. */
	connectTimeoutMs: 700,
	/** Quiet time after which the kernel asks whether the other side is there. */
	keepAliveMs: 5000,
	/** Time that a caller has to say which database it wants. */
	startUpTimeoutMs: 5000,
	/** Connections of callers; beyond them new ones are closed at once. */
	maximumCallers: 3900,
	/** Bytes that a caller may send ahead while a statement of its runs. */
	maximumAheadBytes: 1_100_000,
	/** Connections that wait to be accepted. */
	backlog: 1024,
} as const;

/** Options of the sockets, as they may be set. */
export type LineOptions = {readonly [Name in keyof typeof lineDefaults]: number};
