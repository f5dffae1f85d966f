/**
 * Bounds retries to a share of the requests, so that failures cannot multiply load.
 */

/** A token bucket that requests fill and retries empty. */
export class RetryBudget {
	private readonly _share: number;
	private readonly _burst: number;
	private _tokens: number;

	/**
	 * @param share tokens that one request adds
	 * @param burst most tokens that are kept
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

	/** Notes a first attempt. */
	onRequest(): void {
		this._tokens = Math.min(this._burst, this._tokens + this._share);
	}

	/** Takes one retry out of the budget; false when it is used up. */
	tryRetry(): boolean {
		if (this._tokens < 1) {
			return false;
		}

		this._tokens -= 1;
		return true;
	}
}
