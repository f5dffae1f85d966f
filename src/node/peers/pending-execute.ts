/**
 * The requesting side of one `Execute`: sends a request cycle to a peer and receives its answer.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {AnswerSink, HomeEnd, HomeRequest} from '../../common/services/services.js';
import type {
	AnswerChunk, AnswerEnd, Envelope, Refused,
} from './generated/quetzalstream/peer.js';
import {handleBody, type BodyHandlers} from './body-handlers.js';
import {joinFrames} from './frames.js';
import {
	fromAnswerEnd, fromHost, fromRefused, toExecute,
} from './message-conversion.js';
import type {PendingRequest} from './pending-requests.js';
import type {
	Body, EnvelopeSource, LinkContext,
} from './types.js';
import {
	progressOf, unansweredRefusal, ambiguousErrorKind, type UnansweredCause,
} from './unanswered.js';

/** Arguments of a call of `execute`. */
export type ExecuteCall = {
	readonly request: HomeRequest;
	readonly sink: AnswerSink;
	readonly signal: AbortSignal;
};

/**
 * One request cycle that waits for its answer. Settles exactly once; nothing is pushed after that.
 * The sink must settle the promises of its pushes when its caller is gone: once the end of the
 * answer has arrived, nothing else ends the wait for them.
 */
export class PendingExecute implements PendingRequest, EnvelopeSource {
	/** Resolves with the answer's end or with a refusal; never rejects. */
	readonly result: Promise<Either<Refusal, HomeEnd>>;

	private _resolve!: (result: Either<Refusal, HomeEnd>) => void;
	private readonly _deadlineAtMs: number;
	private _deadline: Disposable;
	private _sentBytes = 0;
	private _isSent = false;
	private _isSettled = false;
	private _hasPushed = false;
	private _sequence = 0;
	/** Parts received so far of an incomplete message. */
	private _parts: Uint8Array[] = [];
	private _partsBytes = 0;
	/** Complete messages that wait for the sink, with the credit that the peer gets back once they are consumed. */
	private readonly _arrived: Array<{readonly frames: Uint8Array; readonly creditBytes: number}> = [];
	private _end: HomeEnd | undefined;
	private _isPushing = false;
	private _unreturnedCreditBytes = 0;
	private readonly _request: HomeRequest;
	private readonly _handlers: BodyHandlers = {
		answerChunk: chunk => {
			this._onChunk(chunk);
		},
		answerEnd: end => {
			this._onEnd(end);
		},
		refused: refused => {
			this._onRefused(refused);
		},
	};

	constructor(
		private readonly _link: LinkContext,
		private readonly _id: number,
		private readonly _call: ExecuteCall,
	) {
		this._request = _call.request;
		this.result = new Promise(resolve => {
			this._resolve = resolve;
		});
		const {clock} = _link.services;
		this._deadlineAtMs = clock.nowMs() + this._request.timeLeftMs;
		this._deadline = clock.setTimer(this._request.timeLeftMs, () => {
			this._settleUnanswered('deadline', 'no answer in time');
		});
		_call.signal.addEventListener('abort', this._onAbort, {once: true});
	}

	get hasMore(): boolean {
		return !this._isSettled && !this._isSent;
	}

	take(): Envelope | undefined {
		if (!this.hasMore) {
			return undefined;
		}

		const {frames} = this._request;
		const isFirst = this._sentBytes === 0;
		const part = frames.subarray(this._sentBytes, this._sentBytes + this._link.options.partBytes);
		this._sentBytes += part.length;
		// The peer runs the request only once it is complete, so it counts as sent only with its last part.
		this._isSent = this._sentBytes === frames.length;
		const hasMore = !this._isSent;
		return {
			requestId: this._id,
			body: isFirst
				? {$case: 'execute', value: toExecute(this._request, {frames: part, hasMore, timeLeftMs: this._timeLeftForHomeMs()})}
				: {$case: 'executePart', value: {frames: part, hasMore}},
		};
	}

	receive(body: Body): boolean {
		return handleBody(this._handlers, body, this._id);
	}

	linkLost(detail: string): void {
		// If the end of the answer has arrived, only the sink is waited for, and the link is not needed any more.
		if (!this._end) {
			this._settleUnanswered('linkLost', detail);
		}
	}

	private readonly _onAbort = () => {
		this._cancel();
	};

	private _onChunk(chunk: AnswerChunk): void {
		if (this._accept(chunk.frames, chunk.sequence, chunk.hasMore)) {
			this._deliver();
		}
	}

	private _onEnd(end: AnswerEnd): void {
		if (!this._accept(end.frames, end.sequence, false)) {
			return;
		}

		this._end = fromAnswerEnd(end);
		// From here on only the sink is waited for, without a deadline.
		this._deadline.dispose();
		this._deliver();
	}

	private _onRefused(refused: Refused): void {
		if (!this._isNextInSequence(this._sequence)) {
			return;
		}

		this._learnHome(refused);
		const refusal = fromRefused(refused, ambiguousErrorKind(this._request));
		const isBegun = this._hasPushed || this._arrived.length > 0;
		const fits = !isBegun || refusal.answer.outcome === 'unknown';
		this._settle(Left(fits ? refusal : new Refusal(ambiguousErrorKind(this._request), refusal.detail)));
	}

	/**
	 * Records the host that a refusal names as home, if it is unknown here. A recently started host may be known to
	 * few nodes, and a redirect to it is useful only with its address.
	 */
	private _learnHome({homeHost}: Refused): void {
		const {membership} = this._link.services;
		const home = fromHost(homeHost);
		if (home && !membership.host(home.name)) {
			membership.learn(home);
		}
	}

	/** Whether a piece is the next one of an answer that has not ended; if not, the link fails. */
	private _isNextInSequence(sequence: number): boolean {
		const isDue = this._link.services.invariants.check(
			'answerMatching',
			sequence === this._sequence && !this._end,
			() => `received piece ${sequence} of an answer, expected piece ${this._sequence} of one that has not ended`,
		);
		if (!isDue) {
			this._link.fail('answer out of order');
		}

		return isDue;
	}

	/** Adds the next frames; returns false if the link failed, as a piece is missing or a message is too large. */
	private _accept(frames: Uint8Array, sequence: number, hasMore: boolean): boolean {
		if (!this._isNextInSequence(sequence)) {
			return false;
		}

		this._sequence++;
		this._parts.push(frames);
		this._partsBytes += frames.length;
		if (this._partsBytes > this._link.options.maximumFramesBytes) {
			this._link.fail('message of an answer too large');
			return false;
		}

		if (hasMore) {
			// The credit for parts of an incomplete message is returned at once, since a message may be larger than
			// the window; what is buffered here is bounded by `maximumFramesBytes` instead.
			this._returnCredit(frames.length);
		} else {
			this._completeMessage(frames.length);
		}

		return true;
	}

	private _completeMessage(lastPartBytes: number): void {
		if (this._partsBytes > 0) {
			this._arrived.push({frames: joinFrames(this._parts, this._partsBytes), creditBytes: lastPartBytes});
		}

		this._parts = [];
		this._partsBytes = 0;
	}

	private _deliver(): void {
		if (!this._isPushing) {
			void this._pushArrived();
		}
	}

	/** Pushes the complete messages to the sink one after the other, each once the sink has consumed the previous one. */
	private async _pushArrived(): Promise<void> {
		this._isPushing = true;
		try {
			for (let next = this._arrived.shift(); next && !this._isSettled; next = this._arrived.shift()) {
				this._hasPushed = true;
				const pushed = this._call.sink.push(next.frames);
				if (pushed) {
					await pushed;
				}

				this._returnCredit(next.creditBytes);
			}
		} catch (error) {
			this._settleUnanswered('receiverFailed', String(error));
		}

		this._isPushing = false;
		if (this._end) {
			this._settle(Right(this._end));
		}
	}

	/** Returns credit for consumed bytes to the peer, in one envelope once half a window has accumulated. */
	private _returnCredit(sizeBytes: number): void {
		this._unreturnedCreditBytes += sizeBytes;
		const isEnding = this._isSettled || this._end !== undefined;
		if (isEnding || this._unreturnedCreditBytes < this._link.options.windowBytes / 2) {
			return;
		}

		this._link.send(this._id, {$case: 'windowUpdate', value: {bytes: this._unreturnedCreditBytes}});
		this._unreturnedCreditBytes = 0;
	}

	private _timeLeftForHomeMs(): number {
		const leftMs = this._deadlineAtMs - this._link.services.clock.nowMs();
		return Math.max(0, leftMs - Math.min(this._link.options.answerMarginMs, leftMs / 10));
	}

	private _cancel(): void {
		if (this._isSettled || this._end) {
			return;
		}

		if (!this._isSent) {
			this._settleUnanswered('cancelled', '');
			return;
		}

		// Only the home knows how far the request came, so its answer to the cancel is waited for up to a time limit.
		this._sendCancel();
		const {clock} = this._link.services;
		const leftMs = Math.min(this._link.options.cancelAnswerMs, this._deadlineAtMs - clock.nowMs());
		this._deadline.dispose();
		this._deadline = clock.setTimer(Math.max(0, leftMs), () => {
			this._settleUnanswered('cancelled', 'no answer to the cancel in time');
		});
	}

	private _sendCancel(): void {
		this._link.send(this._id, {$case: 'cancel', value: {}});
	}

	private _settleUnanswered(cause: UnansweredCause, detail: string): void {
		if (this._isSettled) {
			return;
		}

		if (this._sentBytes > 0 && cause !== 'linkLost') {
			this._sendCancel();
		}

		const progress = progressOf(this._request, this._isSent, this._hasPushed);
		this._link.services.metrics.count('peerRequestsUnansweredTotal', {cause, progress});
		this._settle(Left(unansweredRefusal(cause, progress, detail)));
	}

	private _settle(result: Either<Refusal, HomeEnd>): void {
		if (this._isSettled) {
			return;
		}

		this._isSettled = true;
		this._deadline.dispose();
		this._call.signal.removeEventListener('abort', this._onAbort);
		this._link.removeRequest(this._id);
		this._resolve(result);
	}
}
