/**
 * A clock for tests whose time moves only when the test says so.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {Clock} from '../services/services.js';

type Timer = {readonly dueMs: number; readonly number: number; readonly callback: () => void};

/** Lets everything run that is ready without time moving: promise reactions and their successors. */
export async function settle(): Promise<void> {
	// A macrotask runs only after every microtask, however long their chain is.
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}

/** Steps of virtual time in a millisecond; a power of two, so that times add up exactly. */
const stepsPerMs = 1024;

/**
 * The next step of virtual time. Without steps a timer for the rest of a delay could come
 * due at the very time at which a rounding error still leaves a rest: an endless loop.
 */
function roundUpToStep(timeMs: number): number {
	return Math.ceil(timeMs * stepsPerMs) / stepsPerMs;
}

/** Virtual time: timers run in order of their due time, then of their creation. */
export class VirtualClock implements Clock {
	private readonly _timers: Timer[] = [];
	private _nowMs: number;
	private _timerCount = 0;

	constructor(startMs = 1000) {
		this._nowMs = startMs;
	}

	/** Timers that wait; a test asserts zero after everything is disposed. */
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

	/** Moves time forward, running each due timer and all that it sets off before the next. */
	async advance(durationMs: number): Promise<void> {
		const endMs = roundUpToStep(this._nowMs + durationMs);
		await settle();
		while (this._timers.length > 0 && this._timers[0].dueMs <= endMs) {
			this._runFirst();
			await settle();
		}

		this._nowMs = endMs;
	}

	/** Moves time forward until a promise settles; throws when it has not within the bound. */
	async advanceUntil<T>(promise: Promise<T>, boundMs = 60_000): Promise<T> {
		let isSettled = false;
		const note = (): void => {
			isSettled = true;
		};

		void promise.then(note, note);
		await this.advanceWhile(() => !isSettled, boundMs);
		return promise;
	}

	/** Moves time forward while a condition holds; throws when it still does at the bound. */
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

	/** Time passes in which nothing could run, as when the process was paused; due timers run late. */
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
