/**
 * Limits how many statements run concurrently; the others wait in a FIFO queue.
 */
import {Wait} from '../sql/wait.js';

/** Slot statistics of `GET /status`. */
export type SlotStatistics = {
	readonly limit: number;
	readonly running: number;
	readonly peak: number;
	/** Number of statements that had to wait since the start. */
	readonly waitedCount: number;
	readonly waiting: number;
};

/** Slots for statements, and the queue for them. */
export class StatementSlots {
	private readonly _limit: number;
	private _running = 0;
	private _peak = 0;
	private _waitedCount = 0;
	private readonly _queue: Wait[] = [];

	constructor(limit: number) {
		this._limit = limit;
	}

	get statistics(): SlotStatistics {
		return {
			limit: this._limit, running: this._running, peak: this._peak, waitedCount: this._waitedCount, waiting: this._queue.length,
		};
	}

	/** Acquires a slot: undefined if one is free, otherwise a wait whose resolution means that the slot is acquired. */
	acquire(): Wait | undefined {
		if (this._running < this._limit) {
			this._running += 1;
			this._peak = Math.max(this._peak, this._running);
			return undefined;
		}

		const wait = new Wait();
		this._waitedCount += 1;
		this._queue.push(wait);
		wait.onSettled(() => {
			const index = this._queue.indexOf(wait);
			if (index !== -1) {
				this._queue.splice(index, 1);
			}
		});
		return wait;
	}

	/** Passes the slot to the next statement in the queue, or frees it. */
	release(): void {
		const next = this._queue.shift();
		if (next) {
			next.resolve();
		} else {
			this._running -= 1;
		}
	}
}
