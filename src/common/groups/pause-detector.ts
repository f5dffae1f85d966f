/**
 * Detects when this process itself was paused, so that it does not mistake its own pause for
 * the silence of others.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter, type Event} from '../lifecycle/emitter.js';
import type {Clock} from '../services/services.js';

const tickMs = 100;

/** Runs a periodic timer; a tick that is late by more than the bound means that the process was paused. */
export class PauseDetector implements Disposable {
	/** Fires after a pause, with its length in milliseconds. */
	readonly onPause: Event<number>;

	private readonly _clock: Clock;
	private readonly _boundMs: number;
	private readonly _onPause = new Emitter<number>();
	private _lastTickMs: number;
	private _timer: Disposable | undefined;

	constructor(clock: Clock, boundMs: number) {
		this.onPause = this._onPause.event;
		this._clock = clock;
		this._boundMs = boundMs;
		this._lastTickMs = clock.nowMs();
		this._tick();
	}

	/** Checks for a pause now: after one, other timers may run before the detector's own. */
	check(): void {
		const nowMs = this._clock.nowMs();
		const lateMs = nowMs - this._lastTickMs - tickMs;
		this._lastTickMs = nowMs;
		if (lateMs > this._boundMs) {
			this._onPause.fire(lateMs);
		}
	}

	dispose(): void {
		this._timer?.dispose();
		this._onPause.dispose();
	}

	private _tick(): void {
		this._timer = this._clock.setTimer(tickMs, () => {
			this.check();
			this._tick();
		});
	}
}
