/**
 * Limits retries to a share of the requests, so that failures cannot multiply the load.
 */

/** A token bucket that requests fill and retries empty. */
export class RetryBudget {
	private readonly _share: number;
	private readonly _burst: number;
	private _tokens: number;

	/**
	 * @param share tokens that one request adds
	 * @param burst maximum number of tokens in the bucket
	 */
	constructor(share: number, burst: number) {
		this._share = share;
		this._burst = burst;
		this._tokens = burst;
	}

	/** Whether no retry would be allowed now. */
	get isEmpty(): boolean {
		return this._tokens < 1;
	}

	/** Adds the tokens of one request; to be called for its first attempt only. */
	onRequest(): void {
		this._tokens = Math.min(this._burst, this._tokens + this._share);
	}

	/** Takes the token of one retry; returns false when the budget is exhausted. */
	tryRetry(): boolean {
		if (this._tokens < 1) {
			return false;
		}

		this._tokens -= 1;
		return true;
	}
}
