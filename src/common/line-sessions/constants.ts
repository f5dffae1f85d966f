/**
 * Options of sessions, in one table. Times are in milliseconds.
 */

/** Options of sessions and of placing their statements. */
export const lineSessionDefaults = {
	/** Times that one statement may be turned away without having run before it is refused. */
	maximumDetours: 4,
	/** Pause before a statement of a transaction is sent again that its endpoint had no room for. */
	busyPauseMs: 10,
	/** What crossing to another availability zone adds to a statement's expected time. */
	otherZoneMs: 3,
	/**
	 * What a read at the primary is charged when places are compared: only the primary can run
	 * writes, which wait behind it.
	 */
	primaryReadMs: 30,
	/**
	 * What a read is charged anywhere but at the replica on which its organisation's reads meet: a
	 * connection that must be opened first takes some 12 ms of a slot, and the one that is closed for
	 * it as much again.
	 */
	otherReplicaMs: 20,
	/** A replica's position that is older than this may have moved on enough. */
	positionOldMs: 150,
	/**
	 * Silence of a primary, from the first question that failed, after which nothing more is sent
	 * to it: each statement would wait for its whole time. It is asked every 100 ms meanwhile.
	 */
	silentPrimaryMs: 300,
	/** Time to come back after a refusal for want of a primary, when nothing better is known. */
	retryAfterMs: 250,
	/** Longest wait for the rollback of a transaction that its session left. */
	rollbackTimeoutMs: 1000,
	/** Least time that must be left for another attempt. */
	leastAttemptMs: 20,
	/**
	 * Share of reads that may be sent elsewhere because no answer came, and how many at once. It
	 * keeps slow endpoints from getting twice the work; lost answers stay far below.
	 */
	repeatShare: 0.1,
	repeatBurst: 20,
} as const;

/** Options of sessions, as they may be set. */
export type LineSessionOptions = {readonly [Name in keyof typeof lineSessionDefaults]: number};
