/**
 * Default options of caller sessions and of the choice of an endpoint for each statement. Times are
 * in milliseconds.
 */

/** Default options of sessions and of the selection of endpoints for their statements. */
export const lineSessionDefaults = {
	/** Maximum number of attempts at one statement that are turned away or unanswered before it is refused. */
	maximumDetours: 4,
	/** Pause before a transaction's statement is retried after its endpoint answered that it is busy; multiplied by the number of attempts. */
	busyPauseMs: 10,
	/** Added to a statement's expected duration when the endpoint is in another availability zone. */
	otherZoneMs: 3,
	/**
	 * Added to the expected duration of a read at the primary when targets are compared. Only the
	 * primary can run writes, and they queue behind such reads.
	 */
	primaryReadMs: 30,
	/**
	 * Added to the expected duration of a read at any endpoint except the preferred replica of its
	 * organisation. Opening a connection there first occupies a slot for about 12 ms, and reopening
	 * the connection that was closed to make room for it costs the same again.
	 */
	otherReplicaMs: 20,
	/** Age of a replica's last known position above which the replica is tried although that position is too low: it may have caught up since. */
	positionOldMs: 150,
	/**
	 * How long a primary may be silent, counted from the first status request that failed, before no
	 * more statements are sent to it: each would wait until its deadline. Status requests go on every
	 * 100 ms in the meantime.
	 */
	silentPrimaryMs: 300,
	/** Retry delay that is reported to the caller when a statement is refused because the group has no usable primary. */
	retryAfterMs: 250,
	/** Timeout for rolling back a transaction that its session has abandoned. */
	rollbackTimeoutMs: 1000,
	/** Minimum time before the deadline that must be left for another attempt. */
	leastAttemptMs: 20,
	/**
	 * Retry budget for reads that got no answer: their share of all reads, and the size of a burst.
	 * It keeps retries from doubling the load of endpoints that are merely slow; the share of
	 * answers that are really lost is far lower.
	 */
	repeatShare: 0.1,
	repeatBurst: 20,
} as const;

/** Options of sessions, with every value set. */
export type LineSessionOptions = {readonly [Name in keyof typeof lineSessionDefaults]: number};
