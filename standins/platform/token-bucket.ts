/**
 * Rate limit that allows bursts of up to one second's tokens.
 */
import type {Clock} from '../../src/common/services/services.js';

/** A token bucket whose rate may change at any time. */
export class TokenBucket {
	private readonly _clock: Clock;
	private _tokens: number | undefined;
	private _filledAtMs = 0;

	constructor(clock: Clock) {
		this._clock = clock;
	}

	/** Takes `count` tokens and returns true; takes none and returns false if there are too few. */
	tryTake(ratePerSecond: number, count = 1): boolean {
		const nowMs = this._clock.nowMs();
		const refill = (nowMs - this._filledAtMs) * ratePerSecond / 1000;
		this._tokens = Math.min(ratePerSecond, (this._tokens ?? ratePerSecond) + refill);
		this._filledAtMs = nowMs;
		if (this._tokens < count) {
			return false;
		}

		this._tokens -= count;
		return true;
	}
}
