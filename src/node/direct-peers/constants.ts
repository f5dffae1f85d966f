/**
 * Options of calls between nodes that connect to every endpoint themselves. Times are in milliseconds.
 */

/** Options of the calls. */
export const directPeerDefaults = {
	/** Timeout of a call that ends a transaction held by a peer. */
	endTimeoutMs: 1500,
	/**
	 * Timeout of the connection to a peer, after which a statement can be sent over another one. Nodes
	 * are a few milliseconds apart, and a closed port refuses at once.
	 */
	connectTimeoutMs: 150,
	/** Time without any answer, while calls are in flight, after which a peer is probed. */
	probeAfterMs: 250,
	/** Timeout of a probe: nodes are a few milliseconds apart. */
	probeTimeoutMs: 250,
	/**
	 * Time without calls after which a link is closed; well above the pause between two statements to a
	 * home that is in use. Idle links are closed because each holds memory and a file descriptor at both
	 * ends, and homes and coordinators change as nodes join and leave.
	 */
	idleLinkMs: 30_000,
	/** Time that a peer has for its answer beyond the timeout of the forwarded call. */
	answerMarginMs: 100,
	/**
	 * Time that a peer has beyond the wait of a request for rows, for the first part of its answer or
	 * for a whole one: 300 KB take 343 ms on a link of 7 Mbit/s, and a coordinator whose link of
	 * 2 Mbit/s is busy with the store's answer is reached 262 ms late. A peer that answers nothing at
	 * all is detected by probes before.
	 */
	rowsMarginMs: 1000,
	/**
	 * Maximum message size. The text of an EXECUTE, its parameters and the shape that it executes have up
	 * to 1 MiB each, and up to 2 MiB in UTF-8; the rest is for the session's values.
	 */
	maximumMessageBytes: 8 * 1024 * 1024,
} as const;

/** Id of unsolicited messages, that is of notices from the answering node and of probes; ids of calls count from one. */
export const unsolicitedId = 0;
