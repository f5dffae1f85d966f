/**
 * The host's monotonic clock and timers.
 */
import {performance} from 'node:perf_hooks';
import {toDisposable, type Disposable} from '../common/lifecycle/disposable.js';
import type {Clock} from '../common/services/services.js';

/** Longest delay that `setTimeout` keeps; it fires a longer one after 1 ms. */
const longestDelayMs = (2 ** 31) - 1;

/** Clock of the running process. A timer of more than 24.8 days fires after that time. */
export class SystemClock implements Clock {
	/** Monotonic milliseconds since the process started. */
	nowMs(): number {
		return performance.now();
	}

	wallClockMs(): number {
		return Date.now();
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		const timer = setTimeout(callback, Math.min(delayMs, longestDelayMs));
		return toDisposable(() => {
			clearTimeout(timer);
		});
	}
}
