/**
 * Exponential backoff with jitter.
 */
import type {Clock, Random} from '../services/services.js';

/** Spaces out attempts that keep failing. */
export class Backoff {
	private readonly _clock: Clock;
	private readonly _random: Random;
	private readonly _minimumMs: number;
	private readonly _maximumMs: number;
	private _failures = 0;
	private _nextTryAtMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, random: Random, minimumMs: number, maximumMs: number) {
		this._clock = clock;
		this._random = random;
		this._minimumMs = minimumMs;
		this._maximumMs = maximumMs;
	}

	/** Time in milliseconds until the next attempt is due; 0 if it is due now. */
	get remainingMs(): number {
		return Math.max(0, this._nextTryAtMs - this._clock.nowMs());
	}

	/** Whether the last attempt failed. */
	get isFailing(): boolean {
		return this._failures > 0;
	}

	/** Records a failure; failures before the next attempt is due are not counted again. */
	fail(): void {
		if (this.remainingMs > 0) {
			return;
		}

		const ceilingMs = Math.min(this._maximumMs, this._minimumMs * (2 ** this._failures));
		this._failures += 1;
		this._nextTryAtMs = this._clock.nowMs() + (ceilingMs * (0.5 + (this._random.next() / 2)));
	}

	/** Records a success: the next attempt is due at once. */
	reset(): void {
		this._failures = 0;
		this._nextTryAtMs = Number.NEGATIVE_INFINITY;
	}
}
