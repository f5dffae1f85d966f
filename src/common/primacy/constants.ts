/**
 * Options of following a group's primary, in one table. Every time is in milliseconds.
 */

/** Options of the primacy slice. */
export const primacyDefaults = {
	/**
	 * Time for which a replica's word that it follows a term, and is not fenced, proves that no
	 * later term has begun. A promoter fences every replica and then waits for this time, so it
	 * is part of every failover gap; several polls fit into it, so one lost answer is harmless.
	 */
	leaseMs: 900,
	/** Time between two questions that renew a lease. */
	leasePollMs: 250,
	/** Longest wait for one answer about an endpoint's state: it may wait behind statements. */
	statusTimeoutMs: 350,
	/** Longest wait of a statement for a lease, where none is valid. */
	leaseWaitMs: 350,
	/** The same for the acknowledgement of what was committed: without it the outcome is unknown. */
	acknowledgementWaitMs: 500,
	/**
	 * Longest wait of a write's answer for a replica that has received it: one that has is never
	 * passed over by a promotion. A replica answers in 2 to 5 ms, later behind statements.
	 */
	confirmationWaitMs: 40,
	/** Time for which writes are answered without that wait after one waited in vain. */
	confirmationPauseMs: 500,
	/** The primary is asked for its position when no answer has carried one for this long. */
	sampleEveryMs: 900,
	/** Least time between two kept samples. */
	sampleSpacingMs: 20,
	/** Samples older than this are dropped: above the largest age that routes allow today. */
	sampleKeptMs: 6000,
	/** Part of the allowed age that is not used, for what happens between arrival and sending. */
	ageMarginMs: 30,
	/** Difference between the steps of both clocks that counts as a suspension; drift stays far below. */
	suspensionMs: 100,
	/** Time without statements after which a group is no longer polled. */
	idleAfterMs: 5000,
	/** Wait before a group without a known primary is looked at again. */
	searchMs: 100,

	/** The primary is asked for its state when it said nothing for this long, and at once when an attempt failed. */
	primaryCheckMs: 400,
	/** A node that is asked about a primary looks itself when it heard nothing for this long. */
	opinionFreshMs: 100,
	/** Longest time of that look; below the time that the asking node waits. */
	opinionLookMs: 200,
	/** Refused attempts to connect, without an answer between them, that mean a crash. */
	crashRefusals: 2,
	/**
	 * Silence of the primary that is taken as its loss, unless another node hears it; a false
	 * alarm costs a promotion's second. Longer than one question may take, 350 ms, and the
	 * 100 ms until the next.
	 */
	silentAfterMs: 600,
	/**
	 * Silence after which a primary is replaced though most other nodes cannot be asked: those
	 * that reach it have no proofs once every replica is fenced, so that nothing is risked but
	 * a needless change. Twice the other one; after 3 s a group whose primary stood between two
	 * halves of the nodes refused for 4 s.
	 */
	silentAloneAfterMs: 1200,
	/** Time without any primary, with endpoints that answer, after which one is promoted. */
	vacantAfterMs: 600,
	/** Nodes that see a loss act one after the other by rank, this far apart. */
	staggerMs: 150,

	/**
	 * Time in which duties don't change hands again after a holder used one, on the store's clock.
	 * The platform's own bound is not published; this is above its window for stable machines.
	 */
	dutyLeaseMs: 5000,
	/** Least time between a promotion's order and its effect: the platform states some hundred. */
	promotionMinimumMs: 100,
	/** Longest wait for a promotion to take effect: some hundred milliseconds, a second as a rule. */
	promotionTimeoutMs: 2500,
	/** Time between two looks whether it has taken effect. */
	promotionPollMs: 50,
	/** Longest wait for a replica to have all of a primary that stepped down. */
	handOverMs: 400,
	/** Wait after a promotion that failed. */
	promotionRetryMs: 500,
	/** Time between two looks whether a promotion began without a replica that returned; doubles up to the longest. */
	returnLookMs: 400,
	longestReturnLookMs: 5000,
	/**
	 * Time between two looks in the store whether a term is being replaced, while a proof waits for
	 * that; doubles up to the longest. A promotion takes one to two seconds, and its end is told.
	 */
	replacementLookMs: 200,
	longestReplacementLookMs: 1000,
	/** Longest time between putting an order on record and sending it: a host that was paused meanwhile sends none. */
	orderFreshMs: 1000,
	/** A fence that nobody has removed for this long is left from a node that stopped half-way. */
	orphanedFenceMs: 4000,
} as const;

/** Options of the slice, as they may be set. */
export type PrimacyOptions = {readonly [Name in keyof typeof primacyDefaults]: number};

/**
 * Time from the fences of all replicas until a promotion may be ordered without telling every
 * node, in milliseconds: leases granted before the fences have run out when it takes effect.
 * Proofs further apart than that are no chain, since a promotion may lie between them.
 */
export function leaseExpiryWaitMs({leaseMs, promotionMinimumMs}: PrimacyOptions): number {
	return leaseMs - promotionMinimumMs;
}
