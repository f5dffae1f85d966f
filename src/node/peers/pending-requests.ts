/**
 * The book of requests that wait for an answer on one link.
 */
import type {Metrics} from '../../common/services/services.js';
import type {Body} from './types.js';

/** A request that waits for its answer. */
export type PendingRequest = {
	/** Takes an answer; false when the body is no answer to this request. */
	receive(body: Body): boolean;
	/** Ends the request because its link ended. */
	linkLost(detail: string): void;
};

/** Matches answers to requests by id. Ids are never used twice on a link. */
export class PendingRequests {
	private readonly _metrics: Metrics;
	private readonly _pending = new Map<number, PendingRequest>();
	private _lastId = 0;

	constructor(metrics: Metrics) {
		this._metrics = metrics;
	}

	/** Requests in progress. */
	get size(): number {
		return this._pending.size;
	}

	/** Grows with every request. */
	get lastId(): number {
		return this._lastId;
	}

	/** Enters a request under a new id. */
	begin<T extends PendingRequest>(create: (id: number) => T): T {
		this._lastId++;
		const pending = create(this._lastId);
		this._pending.set(this._lastId, pending);
		return pending;
	}

	/** Takes a request out: from now on answers to it are late. */
	remove(id: number): void {
		this._pending.delete(id);
	}

	/** Gives an answer to the request that it belongs to; drops it when there is none. */
	receive(id: number, body: Body): void {
		const pending = this._pending.get(id);
		if (pending?.receive(body)) {
			return;
		}

		// Late: its request was given up on. Foreign: no request of this link asked for it.
		const isLate = !pending && id > 0 && id <= this._lastId;
		this._metrics.count('peerAnswersDroppedTotal', {reason: isLate ? 'late' : 'foreign'});
	}

	/** Ends every request because the link ended. */
	linkLost(detail: string): void {
		for (const pending of this._pending.values()) {
			pending.linkLost(detail);
		}
	}
}
