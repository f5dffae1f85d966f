/**
 * Slots for statements: so many run at one time, the others wait in order.
 */
import {Wait} from '../sql/wait.js';

/** Figures for the status page. */
export type SlotStatistics = {
	readonly limit: number;
	readonly running: number;
	readonly peak: number;
	/** Statements that had to wait, since the start. */
	readonly waitedCount: number;
	readonly waiting: number;
};

/** Counts what runs. */
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

	/** Takes a slot at once, or gives what must be waited for; when that resolves the slot is taken. */
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

	/** Gives a slot to the next in the queue. */
	release(): void {
		const next = this._queue.shift();
		if (next) {
			next.resolve();
		} else {
			this._running -= 1;
		}
	}
}
