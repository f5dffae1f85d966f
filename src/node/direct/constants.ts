/**
 * Times of a node that starts and stops. All in milliseconds.
 */

/** How the grace time of a stop is used. */
export const drainTimes = {
	/**
	 * Time after the node has said that it takes no callers, in which it still serves new ones:
	 * the platform asks once a second and believes the second answer.
	 */
	noticeMs: 2100,
	/** Time over which idle sessions are closed, so that they don't all return at one moment. */
	closeIdleMs: 700,
	/** Share of the grace time that open transactions have to end. */
	transactionShare: 0.5,
	/** Rest of the grace time that is not used, for what is still to be written. */
	marginMs: 600,
} as const;

/** Times of readiness. */
export const readinessTimes = {
	/** Time between two looks. */
	checkEveryMs: 100,
	/**
	 * Time without any group, heard and proved, after which the store is probed: that of a lease.
	 * Proofs that another node shares are up to 700 ms old on a calm day; at 700 ms 8 nodes made
	 * 500 needless calls in 34 s.
	 */
	probeAfterMs: 900,
	/**
	 * The same where attempts to reach the groups failed: then it is not the proofs of others that
	 * came late. Longer than one question to an endpoint may take.
	 */
	probeAfterFailuresMs: 400,
	/** Least time between two probes: a store that answered is not asked again at once. */
	probeEveryMs: 500,
	/** Time without any group after which a node that does not reach the store either is cut off. */
	cutOffAfterMs: 1200,
	/** The same where attempts to reach the groups failed: until a probe of the store has run out. */
	cutOffAfterFailuresMs: 850,
	/**
	 * Time after a node has said that it is cut off, in which idle sessions stay: new ones come
	 * back to it until the platform has asked twice, once a second.
	 */
	cutOffNoticeMs: 1900,
} as const;
