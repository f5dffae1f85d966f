/**
 * A request to a peer that has a single envelope as its answer.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {fromRefused} from './message-conversion.js';
import type {PendingRequest} from './pending-requests.js';
import type {
	Body, BodyKind, BodyOf, LinkContext,
} from './types.js';

/** A unary request that waits for its answer. Settles exactly once. */
export class PendingUnaryRequest<K extends BodyKind> implements PendingRequest {
	/** Resolves with the answer or with a refusal; never rejects. */
	readonly result: Promise<Either<Refusal, BodyOf<K>['value']>>;

	private _resolve!: (result: Either<Refusal, BodyOf<K>['value']>) => void;
	private readonly _timeout: Disposable;

	constructor(
		private readonly _link: LinkContext,
		private readonly _id: number,
		private readonly _answerKind: K,
		timeoutMs: number,
	) {
		this.result = new Promise(resolve => {
			this._resolve = resolve;
		});
		this._timeout = _link.services.clock.setTimer(timeoutMs, () => {
			this._settle(Left(new Refusal('deadlineExceeded', 'no answer from the peer in time')));
		});
	}

	receive(body: Body): boolean {
		if (body.$case === 'refused') {
			this._settle(Left(fromRefused(body.value, 'peerUnavailable')));
			return true;
		}

		if (body.$case !== this._answerKind) {
			return false;
		}

		// The kind was compared just above.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		this._settle(Right(body.value as BodyOf<K>['value']));
		return true;
	}

	linkLost(detail: string): void {
		this._settle(Left(new Refusal('peerUnavailable', detail)));
	}

	private _settle(result: Either<Refusal, BodyOf<K>['value']>): void {
		this._timeout.dispose();
		this._link.removeRequest(this._id);
		this._resolve(result);
	}
}
