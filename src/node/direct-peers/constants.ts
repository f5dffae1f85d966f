/**
 * Options of calls between nodes that reach every endpoint themselves. Times are in milliseconds.
 */

/** Options of the calls. */
export const directPeerDefaults = {
	/** Longest wait for the end of a transaction at a peer to be answered. */
	endTimeoutMs: 1500,
	/**
	 * Longest wait for the connection to a peer before its statement goes another way: nodes are
	 * a few milliseconds apart, and a port that is closed answers at once.
	 */
	connectTimeoutMs: 150,
	/** Time without any answer, while calls are on their way, after which a peer is probed. */
	probeAfterMs: 250,
	/** Longest wait for the answer to a probe: nodes are a few milliseconds apart. */
	probeTimeoutMs: 250,
	/**
	 * Time without calls after which a link is closed: well above the pause between two statements
	 * to a home that is in use. Each link holds memory and a descriptor at both ends, and homes and
	 * askers change as nodes come and go.
	 */
	idleLinkMs: 30_000,
	/** Time beyond a statement's own that a peer has to answer. */
	answerMarginMs: 100,
	/** Largest message: a line of the protocol and what goes with it. */
	maximumMessageBytes: 2_200_000,
} as const;

/** Id of what an asked node says without having been asked, and of probes: those of calls are counted from one. */
export const unsolicitedId = 0;
