/**
 * Limits of the decisions under load.
 */

/** Limits of the transfer of rows between nodes. Times are in milliseconds. */
export const rowTransferDefaults = {
	/** Encoded size from which on rows are compressed and sent in parts. */
	packFromBytes: 4096,
	/** Maximum size of a part: 5 ms on a link of 7 Mbit/s, so that an answer to a statement that follows it is not late. */
	partBytes: 4096,
	/**
	 * Number of parts of one transfer that are sent beyond the acknowledged ones. Without a bound, the
	 * operating system buffers whole rows, and other answers and probes wait behind them.
	 */
	unacknowledgedParts: 2,
	/**
	 * Number of transfers that a node sends at the same time. With two unacknowledged parts each,
	 * 64 KiB are in transit: 262 ms on a link of 2 Mbit/s, within the 500 ms in which a peer that
	 * answers nothing counts as lost.
	 */
	concurrentTransfers: 8,
	/** Interval at which requesters that wait for their turn are told that the answer is known. */
	waitNoticeMs: 200,
	/** Timeout of a transfer, counted from the last part or notice received. */
	partTimeoutMs: 1000,
	/** Time without an acknowledgement after which the sending node drops a transfer, so that others get their turn. */
	acknowledgementTimeoutMs: 1000,
	/** Number of compressed answers that are kept: one for each followed table and one for nodes that lag behind. */
	keptPacked: 6,
	/** Maximum size of an answer after decompression; a peer that sends more is not believed. */
	maximumRowsBytes: 16_000_000,
} as const;

/** Default options of connection retention. Times are in milliseconds. */
export const retentionDefaults = {
	/**
	 * Half-life of an organisation's rate of use. Long enough that the rate of an organisation with one
	 * statement per second is steady, short enough that a hot organisation of 6 s counts within the
	 * first of them.
	 */
	useHalfLifeMs: 2000,
	/** Idle connections that a home keeps in any case, also after the endpoint refused one. */
	minimumIdle: 5,
	/**
	 * Share of the connections that an endpoint accepts which each of its two homes keeps open in steady
	 * operation. Endpoints count the connections of hosts that lost power for another 3 s; the rest, 0.3
	 * of the limit, still gives each home that starts again twice as many connections as there are slots.
	 */
	steadyShare: 0.35,
	/** Time between two steps by which a home raises the number of idle connections that it keeps. */
	growthIntervalMs: 500,
	/** Time after a refusal for which that number is not raised: for so long dead connections are counted. */
	growthPauseMs: 3000,
} as const;

/** Options of connection retention, with every value set. */
export type RetentionOptions = {readonly [Name in keyof typeof retentionDefaults]: number};

/** Options of ordering and admission by goals, and of return times. */
export const loadDefaults = {
	/**
	 * Multiple of its expected work that must fit into the time left for a statement to count as on
	 * time. Work varies: with exponentially distributed times, 86 % of the statements need less than
	 * twice the mean.
	 */
	workMargin: 2,
	/** Statements by whose work a caller may be ahead of the caller with the least attained service before its statements yield to others; as many as an endpoint usually runs at a time. */
	callerLead: 4,
	/**
	 * Interval, in served statements, at which the one that has waited longest goes first. A late answer
	 * is worth an eighth to a half of one in time, so late statements get less than the eighth of the
	 * slots that ageing gives without goals.
	 */
	lateInterval: 16,
	/** Time constant of the measured share of the slots that each priority class uses; about the goals of callers, so that it follows a burst within one goal. */
	usageWindowMs: 200,
	/** Weight of the newest statement in the expected work of its class. */
	workWeight: 0.1,
	/** Share by which return times are spread at most. */
	returnJitter: 0.1,
	/** Weight of the newest promotion in the expected duration; promotions are rare, so each counts for much. */
	vacancyWeight: 0.3,
	/** Time without a refusal after which the end of a vacancy was not seen; as long as the retry delay without a forecast, within which a refused caller returns. */
	vacancyGapMs: 250,
	/** Minimum time between two log events of one kind at one endpoint. */
	eventSpacingMs: 1000,
} as const;

/** Options of the decisions under load, with every value set. */
export type LoadOptions = {readonly [Name in keyof typeof loadDefaults]: number};
