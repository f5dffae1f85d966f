/**
 * Options of the decisions under load. Times are in milliseconds.
 */

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
