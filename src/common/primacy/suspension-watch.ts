/**
 * Detects that the machine was suspended. The steady clock stops during a suspension, so that times
 * measured with it look more recent than they are, while the wall clock goes on. Setting the wall
 * clock looks the same, which only costs a new proof.
 */
import type {Clock} from '../services/services.js';

/** Compares the progress of both clocks between two checks. */
export class SuspensionWatch {
	private readonly _clock: Clock;
	private readonly _toleranceMs: number;
	private _offsetMs: number;

	constructor(clock: Clock, boundMs: number) {
		this._clock = clock;
		this._toleranceMs = boundMs;
		this._offsetMs = this._currentOffsetMs();
	}

	/** Returns whether the offset between the clocks has jumped since the last check. */
	checkForSuspension(): boolean {
		const offsetMs = this._currentOffsetMs();
		const hasJumped = Math.abs(offsetMs - this._offsetMs) > this._toleranceMs;
		// The reference follows slow drift, so that drift never adds up to a jump.
		this._offsetMs = offsetMs;
		return hasJumped;
	}

	private _currentOffsetMs(): number {
		return this._clock.wallClockMs() - this._clock.nowMs();
	}
}
