/**
 * Times of a node's drain and of its readiness, all in milliseconds.
 */

/** How a node that stops uses its grace time. */
export const drainTimes = {
	/**
	 * Time after a node has become not ready in which it still serves new callers: the platform checks
	 * readiness once a second and acts on the second negative answer.
	 */
	noticeMs: 2100,
	/** Time over which idle sessions are closed, so that their callers do not all reconnect at the same moment. */
	closeIdleMs: 700,
	/** Share of the grace time within which open transactions have to end. */
	transactionShare: 0.5,
	/**
	 * Share of the grace time after which statements of other nodes are refused and their transactions
	 * rolled back. Their callers do not know that this node stops, so they get more time than its own.
	 */
	forwardedShare: 0.75,
	/** Rest of the grace time in which nothing runs any more, for answers that are still to be sent. */
	marginMs: 600,
	/** Rest of that for the exit of the process. */
	exitMs: 200,
} as const;

/** Times of the readiness checks. */
export const readinessTimes = {
	/** Interval between two checks. */
	checkEveryMs: 100,
	/**
	 * Time without a group whose primary was both heard from and proved after which the store is
	 * probed; as long as a lease. Proofs that come over the coordinator are up to 700 ms old in normal
	 * operation: at 700 ms, 8 nodes made 500 needless calls in 34 s.
	 */
	probeAfterMs: 900,
	/**
	 * The same if attempts to reach the groups failed, since then the reason cannot be proofs of the
	 * coordinator that came late. It is longer than the timeout of one status request to an endpoint.
	 */
	probeAfterFailuresMs: 400,
	/** Minimum interval between two probes of the store. */
	probeEveryMs: 500,
	/** Time without any group after which a node that does not reach the store either counts as cut off. */
	cutOffAfterMs: 1200,
	/** The same if attempts to reach the groups failed; long enough for a probe of the store to time out. */
	cutOffAfterFailuresMs: 850,
	/**
	 * Time after a node has become not ready because it is cut off in which it keeps idle sessions: if
	 * it closed them earlier, the callers would reconnect to it until the platform, which checks once a
	 * second, has seen two negative answers.
	 */
	cutOffNoticeMs: 1900,
} as const;
