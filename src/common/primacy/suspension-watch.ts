/**
 * Notices that the machine was suspended. The steady clock stops meanwhile, so that times
 * measured with it look more recent than they are; the time of day goes on. A time of day
 * that was set looks the same, which costs a proof and nothing else.
 */
import type {Clock} from '../services/services.js';

/** Compares the steps of both clocks between two looks. */
export class SuspensionWatch {
	private readonly _clock: Clock;
	private readonly _toleranceMs: number;
	private _offsetMs: number;

	constructor(clock: Clock, boundMs: number) {
		this._clock = clock;
		this._toleranceMs = boundMs;
		this._offsetMs = this._currentOffsetMs();
	}

	/** Whether the clocks moved apart since the last look. */
	checkForSuspension(): boolean {
		const offsetMs = this._currentOffsetMs();
		const hasJumped = Math.abs(offsetMs - this._offsetMs) > this._toleranceMs;
		// Slow drift is followed, so that it never adds up to a jump.
		this._offsetMs = offsetMs;
		return hasJumped;
	}

	private _currentOffsetMs(): number {
		return this._clock.wallClockMs() - this._clock.nowMs();
	}
}
