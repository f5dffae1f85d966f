/**
 * Waiting on the injected clock.
 */
import type {Clock} from '../services/services.js';
import type {Disposable} from './disposable.js';
import type {Event} from './emitter.js';

/** Shortest sleep: a remainder that rounding left must not keep a task busy. */
const minimumSleepMs = 1;

/** One task's sleep: ends after its time, when woken, or when disposed. */
export class WakeableSleep implements Disposable {
	private readonly _clock: Clock;
	private _timer: Disposable | undefined;
	private _resolve: (() => void) | undefined;
	private _isWoken = false;
	private _isDisposed = false;

	constructor(clock: Clock) {
		this._clock = clock;
	}

	/** Sleeps; returns at once when it was woken since the last sleep, or is disposed. */
	async wait(delayMs: number): Promise<void> {
		if (this._isWoken || this._isDisposed) {
			this._isWoken = false;
			return;
		}

		await new Promise<void>(resolve => {
			this._resolve = resolve;
			this._timer = this._clock.setTimer(Math.max(delayMs, minimumSleepMs), () => {
				this._end();
			});
		});
	}

	/** Ends the sleep, or the next one if the task is awake. */
	wake(): void {
		if (this._resolve) {
			this._end();
		} else {
			this._isWoken = true;
		}
	}

	dispose(): void {
		this._isDisposed = true;
		this._end();
	}

	private _end(): void {
		this._timer?.dispose();
		this._timer = undefined;
		const resolve = this._resolve;
		this._resolve = undefined;
		resolve?.();
	}
}

/** Waits for a time. */
export async function pauseFor(clock: Clock, delayMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		clock.setTimer(delayMs, resolve);
	});
}

/** Waits for an event, at most for a time. */
export async function waitForEvent(clock: Clock, event: Event<unknown>, timeoutMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = clock.setTimer(timeoutMs, () => {
			subscription.dispose();
			resolve();
		});
		const subscription = event(() => {
			timer.dispose();
			subscription.dispose();
			resolve();
		});
	});
}

/** The promise's value, or undefined when it has not come in time. */
export async function withTimeout<T>(clock: Clock, promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
	return new Promise((resolve, reject) => {
		const timer = clock.setTimer(timeoutMs, () => {
			resolve(undefined);
		});
		const settled = (): void => {
			timer.dispose();
		};

		promise.then(resolve, reject);
		promise.then(settled, settled);
	});
}
