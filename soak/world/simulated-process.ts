/**
 * A process that can be killed or frozen: its timers and what reaches it obey.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import {toDisposable} from '../../src/common/lifecycle/disposable.js';
import {Emitter, type Event} from '../../src/common/lifecycle/emitter.js';
import type {Clock} from '../../src/common/services/services.js';

/** One process in one availability zone; also the clock of what runs in it. */
export class SimulatedProcess implements Clock {
	readonly name: string;
	readonly availabilityZone: string;
	/** Name of the machine: what leaves one machine for another stays in order. */
	readonly machine: string;
	/** The process has been killed: its connections are reset. */
	readonly onEnd: Event<void>;
	private readonly _clock: Clock;
	private readonly _onEnd = new Emitter<void>();
	private _isAlive = true;
	private _isFrozen = false;
	/** What came due or arrived while the process was frozen, in order. */
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

	/** Runs something in the process: now, when it is thawed, or never. */
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

	/** Ends the process without a word. */
	kill(): void {
		if (!this._isAlive) {
			return;
		}

		// What its end sets off is the host's doing; nothing else leaves a process that is gone.
		this._onEnd.fire();
		this._isAlive = false;
		this._deferred = [];
	}
}

/** What was promised, or undefined when the process ends before. */
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
