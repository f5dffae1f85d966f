/**
 * Writes that wait until a majority of the instances holds them.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {LogPosition} from '../positions/log-position.js';
import type {Clock} from '../services/services.js';

type Waiter = {
	readonly offset: number;
	settle: ((outcome: Either<Refusal, void>) => void) | undefined;
	timer: Disposable | undefined;
};

/** Waiters of one term, ordered by offset. Those before `head` are settled; `pendingCount` counts those that are not settled yet. */
type TermQueue = {waiters: Waiter[]; head: number; pendingCount: number};

/** Number of settled entries that a queue may hold before it is compacted. */
const compactionThreshold = 256;

/** Keeps waiters ordered by position, so that one state report settles many of them without a search. */
export class Confirmations implements Disposable {
	private readonly _clock: Clock;
	private readonly _queues = new Map<number, TermQueue>();

	constructor(clock: Clock) {
		this._clock = clock;
	}

	/** Terms that have pending waiters. */
	get terms(): Iterable<number> {
		return this._queues.keys();
	}

	/** Resolves once `advance` reaches the position; refused with `outcomeUnknown` after the timeout, in milliseconds, or once the term is fenced. */
	async wait(position: LogPosition, timeoutMs: number): Promise<Either<Refusal, void>> {
		return new Promise(resolve => {
			const waiter: Waiter = {
				offset: position.offset,
				settle: resolve,
				timer: undefined,
			};
			waiter.timer = this._clock.setTimer(timeoutMs, () => {
				this._expire(position.term, waiter);
			});
			this._insert(position.term, waiter);
		});
	}

	/** Confirms the waiters of a term up to an offset, when a majority that follows the term holds its log up to there. */
	advance(term: number, offset: number): void {
		const queue = this._queues.get(term);
		if (!queue) {
			return;
		}

		while (queue.head < queue.waiters.length && queue.waiters[queue.head].offset <= offset) {
			this._settle(queue, queue.waiters[queue.head], Right(undefined));
			queue.head++;
		}

		this._compact(term, queue);
	}

	/** Refuses the waiters of lower terms, when a majority has promised this term: they can no longer be confirmed. */
	fence(term: number): void {
		for (const lower of this._queues.keys()) {
			if (lower < term) {
				this._refuseAll(lower, `term ${lower} has been replaced by term ${term}`);
			}
		}
	}

	dispose(): void {
		for (const term of this._queues.keys()) {
			this._refuseAll(term, 'the group is no longer followed');
		}
	}

	private _insert(term: number, waiter: Waiter): void {
		let queue = this._queues.get(term);
		if (!queue) {
			queue = {waiters: [], head: 0, pendingCount: 0};
			this._queues.set(term, queue);
		}

		// Waiters arrive nearly in log order, so a search from the end is short.
		let index = queue.waiters.length;
		while (index > queue.head && queue.waiters[index - 1].offset > waiter.offset) {
			index--;
		}

		queue.waiters.splice(index, 0, waiter);
		queue.pendingCount++;
	}

	private _expire(term: number, waiter: Waiter): void {
		const queue = this._queues.get(term)!;
		this._settle(queue, waiter, Left(new Refusal('outcomeUnknown', 'no majority confirmed the write in time')));
		this._compact(term, queue);
	}

	private _refuseAll(term: number, detail: string): void {
		const queue = this._queues.get(term)!;
		this._queues.delete(term);
		for (const waiter of queue.waiters) {
			this._settle(queue, waiter, Left(new Refusal('outcomeUnknown', detail)));
		}
	}

	/** Removes settled entries once they outnumber the pending ones, so that the cost per waiter stays constant. */
	private _compact(term: number, queue: TermQueue): void {
		if (queue.pendingCount === 0) {
			this._queues.delete(term);
			return;
		}

		const settledCount = queue.waiters.length - queue.pendingCount;
		if (settledCount > Math.max(compactionThreshold, queue.pendingCount)) {
			queue.waiters = queue.waiters.filter(waiter => waiter.settle);
			queue.head = 0;
		}
	}

	private _settle(queue: TermQueue, waiter: Waiter, outcome: Either<Refusal, void>): void {
		if (waiter.settle) {
			queue.pendingCount--;
			waiter.timer?.dispose();
			waiter.settle(outcome);
			waiter.settle = undefined;
		}
	}
}
