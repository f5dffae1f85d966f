/**
 * Virtual clock for tests; its time advances only when the test says so.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {Clock} from '../services/services.js';

type Timer = {readonly dueMs: number; readonly number: number; readonly callback: () => void};

/** Runs everything that is ready without advancing the time: promise reactions and all that they trigger. */
export async function settle(): Promise<void> {
	// A macrotask runs only after every microtask, however long their chain is.
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}

/** Steps of virtual time per millisecond; a power of two, so that sums of times are exact. */
const stepsPerMs = 1024;

/**
 * Rounds a time up to the next step of virtual time. Without steps, a timer for the remainder of a delay
 * could be due at the current time while a rounding error still leaves a remainder: an endless loop.
 */
function roundUpToStep(timeMs: number): number {
	return Math.ceil(timeMs * stepsPerMs) / stepsPerMs;
}

/** Clock with virtual time. Timers run in order of their due time, then of their creation. */
export class VirtualClock implements Clock {
	private readonly _timers: Timer[] = [];
	private _nowMs: number;
	private _timerCount = 0;

	constructor(startMs = 1000) {
		this._nowMs = startMs;
	}

	/** Number of pending timers; a test asserts that it is zero after everything is disposed. */
	get pendingTimers(): number {
		return this._timers.length;
	}

	nowMs(): number {
		return this._nowMs;
	}

	wallClockMs(): number {
		return 1_700_000_000_000 + this._nowMs;
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		this._timerCount++;
		const timer: Timer = {dueMs: roundUpToStep(this._nowMs + Math.max(0, delayMs)), number: this._timerCount, callback};
		this._timers.splice(this._insertionIndexOf(timer), 0, timer);
		return {
			dispose: () => {
				const index = this._timers.indexOf(timer);
				if (index !== -1) {
					this._timers.splice(index, 1);
				}
			},
		};
	}

	/** Advances the time; each due timer runs with everything that it triggers before the next one. */
	async advance(durationMs: number): Promise<void> {
		const endMs = roundUpToStep(this._nowMs + durationMs);
		await settle();
		while (this._timers.length > 0 && this._timers[0].dueMs <= endMs) {
			this._runFirst();
			await settle();
		}

		this._nowMs = endMs;
	}

	/** Advances the time until a promise settles; throws if it has not settled within `boundMs`. */
	async advanceUntil<T>(promise: Promise<T>, boundMs = 60_000): Promise<T> {
		let isSettled = false;
		const note = (): void => {
			isSettled = true;
		};

		void promise.then(note, note);
		await this.advanceWhile(() => !isSettled, boundMs);
		return promise;
	}

	/** Advances the time while a condition holds; throws if it still holds after `boundMs`. */
	async advanceWhile(condition: () => boolean, boundMs = 60_000): Promise<void> {
		const endMs = this._nowMs + boundMs;
		await settle();
		while (condition()) {
			if (this._timers.length === 0 || this._timers[0].dueMs > endMs) {
				throw new Error(`still waiting after ${boundMs} virtual milliseconds`);
			}

			this._runFirst();
			await settle();
		}
	}

	/** Advances the time without running timers, as if the process had been paused; timers that became due run late. */
	pause(durationMs: number): void {
		this._nowMs += durationMs;
	}

	private _runFirst(): void {
		const timer = this._timers.shift()!;
		this._nowMs = Math.max(this._nowMs, timer.dueMs);
		timer.callback();
	}

	private _insertionIndexOf(timer: Timer): number {
		let low = 0;
		let high = this._timers.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this._timers[middle].dueMs <= timer.dueMs) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}
