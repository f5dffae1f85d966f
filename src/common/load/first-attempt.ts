/**
 * Recognises the retry of a refused statement in its session.
 *
 * Addresses retries during a burst: the goal of a request counts from its first attempt, but a retry
 * looks like a new request. Counted as new, retries that are already late displace statements that
 * can still be answered in time.
 */

type RefusedStatement = {
	readonly text: string;
	readonly firstAtMs: number;
	/** Time after which the same text is a new request. */
	readonly untilMs: number;
};

/** How a statement ended. */
export type StatementEnd = {
	readonly text: string;
	readonly arrivedAtMs: number;
	readonly endedAtMs: number;
	/** Retry time of the refusal; undefined if the statement was answered, zero if a retry does not help. */
	readonly retryAfterMs: number | undefined;
	/** Response-time goal of the statement's route. */
	readonly goalMs: number;
};

/** Keeps the last refused statement of one session. */
export class FirstAttempt {
	private _refused: RefusedStatement | undefined;

	/** When the caller first sent a statement that arrives now. */
	firstAtMs(text: string, arrivedAtMs: number): number {
		return this._refused?.text === text && arrivedAtMs <= this._refused.untilMs ? this._refused.firstAtMs : arrivedAtMs;
	}

	/** Records the end of a statement. A caller that returns later than its retry time and its goal has begun anew. */
	noteEnd({text, arrivedAtMs, endedAtMs, retryAfterMs = 0, goalMs}: StatementEnd): void {
		const firstAtMs = this.firstAtMs(text, arrivedAtMs);
		this._refused = retryAfterMs > 0 ? {text, firstAtMs, untilMs: endedAtMs + retryAfterMs + goalMs} : undefined;
	}
}
