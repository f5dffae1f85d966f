/**
 * The host's monotonic clock and timers.
 */
import {performance} from 'node:perf_hooks';
import {toDisposable, type Disposable} from '../common/lifecycle/disposable.js';
import type {Clock} from '../common/services/services.js';

/** Clock of the running process. */
export class SystemClock implements Clock {
	/** Monotonic milliseconds since the process started. */
	nowMs(): number {
		return performance.now();
	}

	wallClockMs(): number {
		return Date.now();
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		const timer = setTimeout(callback, delayMs);
		return toDisposable(() => {
			clearTimeout(timer);
		});
	}
}
