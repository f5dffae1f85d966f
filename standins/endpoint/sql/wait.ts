/**
 * Something a statement waits for; it can fail before its time, by cancel or by closing.
 */
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';
import type {Clock} from '../../../src/common/services/services.js';

/** A promise that its owner settles and that anyone may make fail. */
export class Wait {
	readonly promise: Promise<void>;
	/** A waiting statement gives its slot up while it waits for a lock. */
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

	/** Calls back once it is over either way. */
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

/** Waits for a time. */
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
