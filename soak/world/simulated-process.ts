/**
 * A process that can be killed or frozen. While it is frozen, timers and messages are deferred; once
 * it is killed, they are dropped.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import {toDisposable} from '../../src/common/lifecycle/disposable.js';
import {Emitter, type Event} from '../../src/common/lifecycle/emitter.js';
import type {Clock} from '../../src/common/services/services.js';

/** A process in an availability zone; it is also the clock of the code that runs in it. */
export class SimulatedProcess implements Clock {
	readonly name: string;
	readonly availabilityZone: string;
	/** Name of the machine; messages from one machine to another keep their order. */
	readonly machine: string;
	/** Fires when the process is killed and its connections are reset. */
	readonly onEnd: Event<void>;
	private readonly _clock: Clock;
	private readonly _onEnd = new Emitter<void>();
	private _isAlive = true;
	private _isFrozen = false;
	/** Timers and messages that came due while the process was frozen, in order. */
	private _deferred: Array<() => void> = [];

	constructor(name: string, availabilityZone: string, clock: Clock, machine = name) {
		this.name = name;
		this.machine = machine;
		this.availabilityZone = availabilityZone;
		this._clock = clock;
		this.onEnd = this._onEnd.event;
	}

	get isAlive(): boolean {
		return this._isAlive;
	}

	get isFrozen(): boolean {
		return this._isFrozen;
	}

	nowMs(): number {
		return this._clock.nowMs();
	}

	wallClockMs(): number {
		return this._clock.wallClockMs();
	}

	setTimer(delayMs: number, callback: () => void): Disposable {
		let isCancelled = false;
		const timer = this._clock.setTimer(delayMs, () => {
			this.run(() => {
				if (!isCancelled) {
					callback();
				}
			});
		});
		return toDisposable(() => {
			isCancelled = true;
			timer.dispose();
		});
	}

	/** Runs an action in the process: at once, after a thaw if it is frozen, or never if it is killed. */
	run(action: () => void): void {
		if (!this._isAlive) {
			return;
		}

		if (this._isFrozen) {
			this._deferred.push(action);
			return;
		}

		action();
	}

	freeze(): void {
		this._isFrozen = true;
	}

	thaw(): void {
		this._isFrozen = false;
		const deferred = this._deferred;
		this._deferred = [];
		for (const action of deferred) {
			this.run(action);
		}
	}

	/** Ends the process abruptly. */
	kill(): void {
		if (!this._isAlive) {
			return;
		}

		// Listeners still send the resets, on behalf of the host, before the process counts as dead; nothing leaves it afterwards.
		this._onEnd.fire();
		this._isAlive = false;
		this._deferred = [];
	}
}

/** Resolves with the value of a promise, or with undefined if the process ends before. */
export async function untilEnd<T>(process: SimulatedProcess, promise: Promise<T>): Promise<T | undefined> {
	return new Promise((resolve, reject) => {
		const ended = process.onEnd(() => {
			resolve(undefined);
		});
		promise.then(value => {
			ended.dispose();
			resolve(value);
		}, reject);
	});
}
