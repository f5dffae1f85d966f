/**
 * The work of an instance under load: slots, a queue in order of arrival that refuses any statement
 * beyond its length, and the faults of the deployments that docs/design/load-control.md describes.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import {toDisposable} from '../../src/common/lifecycle/disposable.js';

/** Slots and queue of one instance. */
export class InstanceLoad {
	/** Factor by which all work takes longer. */
	slowFactor = 1;
	/** Share of the statements that fail. */
	failedShare = 0;
	/** Statements that arrived, and those that were refused because the queue was full or the instance lagged. */
	readonly counts = {
		arrived: 0, busy: 0, behind: 0, failed: 0,
	};

	readonly slots: number;
	/** Time for which a new connection occupies a slot. */
	readonly connectMs: number;
	private readonly _queueLength: number;
	private readonly _waiting: Array<() => void> = [];
	private readonly _meanMs: number;
	private readonly _maximumMs: number;
	private readonly _random: () => number;
	private _running = 0;

	constructor({slots = 4, queueLength = 32, connectMs = 12, meanMs, maximumMs, random}: {
		readonly slots?: number;
		readonly queueLength?: number;
		readonly connectMs?: number;
		/** Mean and maximum of the time that a statement occupies a slot. */
		readonly meanMs: number;
		readonly maximumMs: number;
		readonly random: () => number;
	}) {
		this.slots = slots;
		this.connectMs = connectMs;
		this._queueLength = queueLength;
		this._meanMs = meanMs;
		this._maximumMs = maximumMs;
		this._random = random;
	}

	/** The time that the next statement occupies its slot, distributed exponentially up to the maximum. */
	nextWorkMs(): number {
		return this.slowFactor * Math.min(this._maximumMs, -this._meanMs * Math.log(1 - this._random()));
	}

	/** Whether the next statement fails. */
	isNextFailed(): boolean {
		return this._random() < this.failedShare;
	}

	/** Waits for a slot, which is freed by disposing the result; undefined if the queue is full. */
	async enter(): Promise<Disposable | undefined> {
		if (this._running >= this.slots) {
			if (this._waiting.length >= this._queueLength) {
				return undefined;
			}

			await new Promise<void>(resolve => {
				this._waiting.push(resolve);
			});
		} else {
			this._running += 1;
		}

		return toDisposable(() => {
			// The slot passes to the next statement without becoming free.
			const next = this._waiting.shift();
			if (next) {
				next();
			} else {
				this._running -= 1;
			}
		});
	}
}
