/**
 * The serving side of one `Execute`: sends the answer as far as the requester has granted credit.
 */
import type {Either} from 'purify-ts';
import type {Refusal} from '../../common/errors/error-kinds.js';
import type {AnswerSink, HomeEnd, Host} from '../../common/services/services.js';
import type {Envelope} from './generated/quetzalstream/peer.js';
import {joinFrames} from './frames.js';
import type {LinkWriter} from './link-writer.js';
import {toAnswerEnd, toRefused} from './message-conversion.js';
import type {EnvelopeSource} from './types.js';

/** Destination of an answer, with its limits. */
export type AnswerTarget = {
	readonly requestId: number;
	readonly writer: LinkWriter;
	/** Initial credit: bytes that may be sent before the requester grants more. */
	readonly windowBytes: number;
	/** Largest number of frame bytes in one envelope. */
	readonly partBytes: number;
	/** Returns the host that a refusal names; the requester may not know its address. */
	findHost(name: string): Host | undefined;
	/** Called once, when the writer takes the last envelope. */
	onSent(): void;
};

/** An answer that is being sent to the requester. Frames must not be modified after they were pushed. */
export class ServedAnswer implements AnswerSink, EnvelopeSource {
	private _waiting: Uint8Array[] = [];
	private _waitingBytes = 0;
	private _creditBytes: number;
	private _sequence = 0;
	private _end: HomeEnd | undefined;
	private _refusal: Refusal | undefined;
	private _isQueued = false;
	private _isClosed = false;
	private _backpressure: Promise<void> | undefined;
	private _resolveBackpressure: (() => void) | undefined;

	constructor(private readonly _target: AnswerTarget) {
		this._creditBytes = _target.windowBytes;
	}

	/** Whether an envelope can be sent now: the end or refusal, or frames for which there is credit. */
	get hasMore(): boolean {
		if (this._isClosed) {
			return false;
		}

		if (this._waitingBytes > 0 && !this._refusal) {
			return this._creditBytes > 0;
		}

		return this._refusal !== undefined || this._end !== undefined;
	}

	push(frames: Uint8Array): void | Promise<void> {
		if (this._isClosed || frames.length === 0) {
			return;
		}

		this._waiting.push(frames);
		this._waitingBytes += frames.length;
		this._queue();
		return this._waitingBytes < this._target.partBytes ? undefined : this._waitForRoom();
	}

	/** Ends the answer; the end is sent with the last frames, a refusal without the frames that still wait. */
	end(end: Either<Refusal, HomeEnd>): void {
		end.ifLeft(refusal => {
			this._refusal = refusal;
		}).ifRight(homeEnd => {
			this._end = homeEnd;
		});
		this._queue();
	}

	/** Grants credit for more bytes. */
	addCredit(sizeBytes: number): void {
		this._creditBytes += sizeBytes;
		this._queue();
	}

	/** Drops unsent frames, which nothing waits for, and releases pushes that wait for room. */
	close(): void {
		this._isClosed = true;
		this._waiting = [];
		this._waitingBytes = 0;
		this._releaseBackpressure();
	}

	take(): Envelope | undefined {
		this._isQueued = this.hasMore;
		if (!this._isQueued) {
			return undefined;
		}

		const envelope = this._next();
		this._isQueued = this.hasMore;
		if (this._waitingBytes < this._target.partBytes) {
			this._releaseBackpressure();
		}

		return envelope;
	}

	private _next(): Envelope {
		if (this._refusal) {
			const homeNode = this._refusal.correction?.homeNode;
			const homeHost = homeNode === undefined ? undefined : this._target.findHost(homeNode);
			return this._finalEnvelope({$case: 'refused', value: toRefused(this._refusal, homeHost)});
		}

		const {frames, hasMore} = this._takeFrames();
		const sequence = this._sequence++;
		if (this._end && this._waitingBytes === 0) {
			return this._finalEnvelope({$case: 'answerEnd', value: toAnswerEnd(this._end, frames, sequence)});
		}

		return {requestId: this._target.requestId, body: {$case: 'answerChunk', value: {frames, sequence, hasMore}}};
	}

	private _finalEnvelope(body: Envelope['body']): Envelope {
		this.close();
		this._target.onSent();
		return {requestId: this._target.requestId, body};
	}

	/** Takes as many whole pushes as fit into one part and the credit, or a piece of the first if it does not fit. */
	private _takeFrames(): {frames: Uint8Array; hasMore: boolean} {
		const limitBytes = Math.min(this._target.partBytes, this._creditBytes);
		const pieces: Uint8Array[] = [];
		let sizeBytes = 0;
		while (pieces.length < this._waiting.length && sizeBytes + this._waiting[pieces.length].length <= limitBytes) {
			sizeBytes += this._waiting[pieces.length].length;
			pieces.push(this._waiting[pieces.length]);
		}

		if (pieces.length > 0) {
			this._waiting = this._waiting.slice(pieces.length);
			this._consume(sizeBytes);
			return {frames: joinFrames(pieces, sizeBytes), hasMore: false};
		}

		return this._takePart(limitBytes);
	}

	private _takePart(limitBytes: number): {frames: Uint8Array; hasMore: boolean} {
		if (this._waiting.length === 0) {
			return {frames: new Uint8Array(0), hasMore: false};
		}

		const frames = this._waiting[0].subarray(0, limitBytes);
		this._waiting[0] = this._waiting[0].subarray(limitBytes);
		this._consume(frames.length);
		return {frames, hasMore: true};
	}

	private _consume(sizeBytes: number): void {
		this._waitingBytes -= sizeBytes;
		this._creditBytes -= sizeBytes;
	}

	private _queue(): void {
		if (!this._isQueued && this.hasMore) {
			this._isQueued = true;
			this._target.writer.add(this);
		}
	}

	private async _waitForRoom(): Promise<void> {
		this._backpressure ??= new Promise(resolve => {
			this._resolveBackpressure = resolve;
		});
		return this._backpressure;
	}

	private _releaseBackpressure(): void {
		this._resolveBackpressure?.();
		this._backpressure = undefined;
		this._resolveBackpressure = undefined;
	}
}
