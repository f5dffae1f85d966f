/**
 * The table of pending requests of one link.
 */
import type {Metrics} from '../../common/services/services.js';
import type {Body} from './types.js';

/** A request that waits for its answer. */
export type PendingRequest = {
	/** Handles an answer; returns false if the body is not an answer to this request. */
	receive(body: Body): boolean;
	/** Settles the request because its link has ended. */
	linkLost(detail: string): void;
};

/** Matches answers to requests by id. An id is never reused on the same link. */
export class PendingRequests {
	private readonly _metrics: Metrics;
	private readonly _pending = new Map<number, PendingRequest>();
	private _lastId = 0;

	constructor(metrics: Metrics) {
		this._metrics = metrics;
	}

	/** Number of pending requests. */
	get size(): number {
		return this._pending.size;
	}

	/** Id of the latest request; ids are ascending. */
	get lastId(): number {
		return this._lastId;
	}

	/** Creates a request under a new id and adds it to the table. */
	begin<T extends PendingRequest>(create: (id: number) => T): T {
		this._lastId++;
		const pending = create(this._lastId);
		this._pending.set(this._lastId, pending);
		return pending;
	}

	/** Removes a request; answers that arrive for it from now on count as late. */
	remove(id: number): void {
		this._pending.delete(id);
	}

	/** Passes an answer to its request; drops and counts it if there is none. */
	receive(id: number, body: Body): void {
		const pending = this._pending.get(id);
		if (pending?.receive(body)) {
			return;
		}

		// Late: the request is settled already. Foreign: the body answers no request of this link.
		const isLate = !pending && id > 0 && id <= this._lastId;
		this._metrics.count('peerAnswersDroppedTotal', {reason: isLate ? 'late' : 'foreign'});
	}

	/** Settles all pending requests because the link has ended. */
	linkLost(detail: string): void {
		for (const pending of this._pending.values()) {
			pending.linkLost(detail);
		}
	}
}
