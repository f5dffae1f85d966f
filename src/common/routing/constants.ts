/**
 * Options of routing and their defaults.
 */

/** Options of the router; durations in milliseconds. */
export type RoutingOptions = {
	/** Longest time a write waits for the group to have a primary. */
	readonly primaryWaitMs: number;
	/** Requests that may wait for a primary at one time; the rest are refused at once. */
	readonly maximumPrimaryWaiters: number;
	/** First pause before asking again for a primary; doubles up to the limit below. */
	readonly primaryPollMs: number;
	readonly maximumPrimaryPollMs: number;
	/** Timeout of asking one home for its view of a group. */
	readonly viewTimeoutMs: number;
	/** How long an endpoint that could not be reached is passed over. */
	readonly endpointPenaltyMs: number;
	/** How long the term of a primary that did not serve is not believed again. */
	readonly primaryRejectionMs: number;
	/** Share of requests that may be sent again. */
	readonly retryShare: number;
	/** Retries that are allowed however few requests there were. */
	readonly retryBurst: number;
	/** Detours after a correction of the view that one request may take. */
	readonly maximumDetours: number;
	/** Pause before the second detour; doubles up to the longest. The first is taken at once. */
	readonly detourPauseMs: number;
	readonly longestDetourPauseMs: number;
	/** Least time that must be left for an attempt to make sense. */
	readonly minimumAttemptMs: number;
};

/** Defaults of the router's options. */
export const routingDefaults: RoutingOptions = {
	primaryWaitMs: 4000,
	maximumPrimaryWaiters: 2000,
	primaryPollMs: 20,
	maximumPrimaryPollMs: 200,
	viewTimeoutMs: 300,
	endpointPenaltyMs: 500,
	primaryRejectionMs: 200,
	retryShare: 0.1,
	retryBurst: 50,
	maximumDetours: 14,
	detourPauseMs: 5,
	longestDetourPauseMs: 300,
	minimumAttemptMs: 1,
};
