/**
 * Sleeps and timeouts on the injected clock.
 */
import type {Clock} from '../services/services.js';
import type {Disposable} from './disposable.js';
import type {Event} from './emitter.js';

/** Minimum sleep, so that a remainder left by rounding does not make a task loop without sleeping. */
const minimumSleepMs = 1;

/** Sleep of one task, which ends after its delay, when woken, or when disposed. */
export class WakeableSleep implements Disposable {
	private readonly _clock: Clock;
	private _timer: Disposable | undefined;
	private _resolve: (() => void) | undefined;
	private _isWoken = false;
	private _isDisposed = false;

	constructor(clock: Clock) {
		this._clock = clock;
	}

	/** Sleeps; returns at once if `wake` was called since the last sleep, or if disposed. */
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

	/** Ends the current sleep; if the task is awake, its next sleep returns at once. */
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

/** Resolves after `delayMs` milliseconds. */
export async function pauseFor(clock: Clock, delayMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		clock.setTimer(delayMs, resolve);
	});
}

/** Resolves when the event fires, or after `timeoutMs` at the latest. */
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

/** Resolves to the promise's value, or to undefined if it is not settled within `timeoutMs`. */
export async function withTimeout<T>(clock: Clock, promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
	return new Promise((resolve, reject) => {
		const timer = clock.setTimer(timeoutMs, () => {
			resolve(undefined);
		});
		const disposeTimer = (): void => {
			timer.dispose();
		};

		promise.then(resolve, reject);
		promise.then(disposeTimer, disposeTimer);
	});
}
