/**
 * Waits of statements, for a delay, a lock or a slot. They can fail early, when the statement is cancelled or the connection ends.
 */
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';
import type {Clock} from '../../../src/common/services/services.js';

/** A promise with callbacks. Its creator resolves it, and anyone may make it fail; only the first call has an effect. */
export class Wait {
	readonly promise: Promise<void>;
	/** Whether the wait is for a lock; a statement releases its slot during such a wait. */
	readonly isForLock: boolean;
	private _resolve!: () => void;
	private _reject!: (error: Error) => void;
	private _isSettled = false;
	private readonly _onSettled: Array<() => void> = [];

	constructor(isForLock = false) {
		this.isForLock = isForLock;
		this.promise = new Promise((resolve, reject) => {
			this._resolve = resolve;
			this._reject = reject;
		});
	}

	get isSettled(): boolean {
		return this._isSettled;
	}

	/** Registers a callback for when the wait has resolved or failed. */
	onSettled(callback: () => void): void {
		this._onSettled.push(callback);
	}

	resolve(): void {
		if (this._settle()) {
			this._resolve();
		}
	}

	fail(error: Error): void {
		if (this._settle()) {
			this._reject(error);
		}
	}

	private _settle(): boolean {
		if (this._isSettled) {
			return false;
		}

		this._isSettled = true;
		for (const callback of this._onSettled) {
			callback();
		}

		return true;
	}
}

/** Creates a wait that resolves after a delay in milliseconds. */
export function sleep(clock: Clock, delayMs: number): Wait {
	const wait = new Wait();
	const timer: Disposable = clock.setTimer(delayMs, () => {
		wait.resolve();
	});
	wait.onSettled(() => {
		timer.dispose();
	});
	return wait;
}
