/**
 * Options of routing and their defaults.
 */

/** Options of the router; durations in milliseconds. */
export type RoutingOptions = {
	/** Maximum time that a request waits for the group to have a primary. */
	readonly primaryWaitMs: number;
	/** Maximum number of requests that wait for a primary at the same time; further ones are refused immediately. */
	readonly maximumPrimaryWaiters: number;
	/** Pause before the homes are polled for the primary again; it doubles each time up to `maximumPrimaryPollMs`. */
	readonly primaryPollMs: number;
	readonly maximumPrimaryPollMs: number;
	/** Timeout of a request to one home for its view of a group. */
	readonly viewTimeoutMs: number;
	/** How long an endpoint is not chosen as a replica after a request to it failed. */
	readonly endpointPenaltyMs: number;
	/** How long announcements of a term, or of an older one, are ignored after its primary did not serve as primary. */
	readonly primaryRejectionMs: number;
	/** Ratio of retries to requests that the retry budget allows. */
	readonly retryShare: number;
	/** Retries that the budget allows in a burst, however few requests there were. */
	readonly retryBurst: number;
	/** Maximum number of detours of one request: attempts that follow a correction of the cached view. */
	readonly maximumDetours: number;
	/** Pause before the second detour of a request; it doubles up to `longestDetourPauseMs`. The first is taken immediately. */
	readonly detourPauseMs: number;
	readonly longestDetourPauseMs: number;
	/** Minimum time that must be left before the deadline for an attempt to be made. */
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
