/**
 * Writes that wait for a majority to hold them.
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

/** Waiters of one term, ordered by offset. Those before `head` are done; `live` are not. */
type TermQueue = {waiters: Waiter[]; head: number; pendingCount: number};

/** Done entries that are kept before a queue is cut. */
const compactionThreshold = 256;

/** Waiters ordered by position, so that one report settles many without a search. */
export class Confirmations implements Disposable {
	private readonly _clock: Clock;
	private readonly _queues = new Map<number, TermQueue>();

	constructor(clock: Clock) {
		this._clock = clock;
	}

	/** Terms that somebody waits for. */
	get terms(): Iterable<number> {
		return this._queues.keys();
	}

	/** Waits until `advance` reaches the position. */
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

	/** A majority that follows the term holds its log up to the offset. */
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

	/** A majority promised this term: lower ones can no longer be confirmed. */
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

		// Answers come nearly in log order, so the place is found at the end.
		let place = queue.waiters.length;
		while (place > queue.head && queue.waiters[place - 1].offset > waiter.offset) {
			place--;
		}

		queue.waiters.splice(place, 0, waiter);
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

	/** Drops done entries once they are many, so that the cost per waiter stays constant. */
	private _compact(term: number, queue: TermQueue): void {
		if (queue.pendingCount === 0) {
			this._queues.delete(term);
			return;
		}

		const done = queue.waiters.length - queue.pendingCount;
		if (done > Math.max(compactionThreshold, queue.pendingCount)) {
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
