/**
 * Notices when this process itself was paused, so that it does not take its own absence
 * for the silence of others.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter, type Event} from '../lifecycle/emitter.js';
import type {Clock} from '../services/services.js';

const tickMs = 100;

/** Ticks; a tick that comes much too late means that the process did not run. */
export class PauseDetector implements Disposable {
	/** Fires with the length of a pause in milliseconds. */
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

	/** Looks now: after a pause, timers may run before this watch's own. */
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
