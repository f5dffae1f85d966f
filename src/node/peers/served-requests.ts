/**
 * The request cycles that this node runs for one peer.
 */
import {Left, type Either} from 'purify-ts';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {HomeEnd, HomeExecutor, Host} from '../../common/services/services.js';
import {joinFrames} from './frames.js';
import type {Execute, ExecutePart} from './generated/quetzalstream/peer.js';
import type {LinkWriter} from './link-writer.js';
import {fromExecute, toRefused} from './message-conversion.js';
import {ServedAnswer} from './served-answer.js';
import type {PeerOptions} from './types.js';

/** A request that is running or still being received. */
type ServedRequest = {
	/**
	 * Undefined once the executor has ended: from then on the controller may be reused by another request, which a
	 * late cancel of this one must not abort.
	 */
	controller: AbortController | undefined;
	isCancelled: boolean;
	readonly answer: ServedAnswer;
	/** The parts received so far; undefined once the request is complete. */
	parts: {readonly execute: Execute; readonly pieces: Uint8Array[]; sizeBytes: number} | undefined;
};

/** Number of abort controllers that are kept for reuse by later requests. */
const maximumSpareControllers = 64;

/** What the requests need from their link. */
export type ServedRequestsContext = {
	readonly writer: LinkWriter;
	readonly executor: HomeExecutor;
	readonly options: PeerOptions;
	/** Returns the host of this name; undefined if it is not known. */
	findHost(name: string): Host | undefined;
	/** Called when a request is accepted, before it runs. */
	onBegin(): void;
	/** Called on a failure that is not a refusal: the executor threw, or a request id is in use. */
	onFailure(error: unknown): void;
};

/** Runs the requests of one link, with a bounded number in progress. */
export class ServedRequests {
	/** Initial credit of each answer in bytes; the requester sends it in its hello. */
	windowBytes: number;

	private readonly _served = new Map<number, ServedRequest>();
	private _partsBytes = 0;
	/** Controllers that never aborted, for reuse: creating one per request is a good part of a request's cost. */
	private readonly _spareControllers: AbortController[] = [];

	constructor(private readonly _context: ServedRequestsContext) {
		this.windowBytes = _context.options.windowBytes;
	}

	/** Whether the requester waits for an answer; it may have settled cancelled requests already, so these don't count. */
	get hasUncancelledRequests(): boolean {
		for (const served of this._served.values()) {
			if (!served.isCancelled) {
				return true;
			}
		}

		return false;
	}

	/** Starts a request, or refuses it at once if too many are in progress. */
	execute(id: number, execute: Execute): void {
		if (this._served.has(id)) {
			// The requester would match an answer under this id to the earlier request.
			this._context.onFailure(new Error(`request id ${id} is in use`));
			return;
		}

		if (this._served.size >= this._context.options.maximumInProgress) {
			this._refuse(id, new Refusal('overloaded', 'too many requests of one peer'));
			return;
		}

		const served: ServedRequest = {
			controller: this._spareControllers.pop() ?? new AbortController(), isCancelled: false, answer: this._answerTo(id), parts: undefined,
		};
		this._served.set(id, served);
		this._context.onBegin();
		if (execute.hasMore) {
			served.parts = {execute, pieces: [], sizeBytes: 0};
			this._addPart(id, served, execute.frames);
		} else {
			void this._run(execute, execute.frames, served);
		}
	}

	/** Adds a further part of a request; the last part starts the request. */
	addPart(id: number, part: ExecutePart): void {
		const served = this._served.get(id);
		if (!served?.parts || !this._addPart(id, served, part.frames) || part.hasMore) {
			return;
		}

		const {execute, pieces, sizeBytes} = served.parts;
		this._dropParts(served);
		void this._run(execute, joinFrames(pieces, sizeBytes), served);
	}

	/** Aborts the executor's signal; a request that is still being received is refused and never runs. */
	cancel(id: number): void {
		const served = this._served.get(id);
		if (!served) {
			return;
		}

		served.isCancelled = true;
		served.controller?.abort();
		if (served.parts) {
			this._dropParts(served);
			served.answer.end(Left(new Refusal('cancelled')));
		}
	}

	/** Grants credit for more answer bytes of a request. */
	addCredit(id: number, sizeBytes: number): void {
		this._served.get(id)?.answer.addCredit(sizeBytes);
	}

	/** Aborts all requests and drops their answers, which nothing waits for once the link has ended. */
	close(): void {
		for (const served of this._served.values()) {
			served.answer.close();
			served.controller?.abort();
		}

		this._served.clear();
	}

	private _answerTo(id: number): ServedAnswer {
		return new ServedAnswer({
			requestId: id,
			writer: this._context.writer,
			windowBytes: this.windowBytes,
			partBytes: this._context.options.partBytes,
			findHost: name => this._context.findHost(name),
			onSent: () => {
				this._served.delete(id);
			},
		});
	}

	private async _run(execute: Execute, frames: Uint8Array, served: ServedRequest): Promise<void> {
		const controller = served.controller ?? new AbortController();
		const end = await this._execute(execute, frames, served.answer, controller.signal);
		served.controller = undefined;
		if (!controller.signal.aborted && this._spareControllers.length < maximumSpareControllers) {
			this._spareControllers.push(controller);
		}

		served.answer.end(end);
	}

	private async _execute(execute: Execute, frames: Uint8Array, answer: ServedAnswer, signal: AbortSignal): Promise<Either<Refusal, HomeEnd>> {
		try {
			return await this._context.executor.execute(fromExecute(execute, frames), answer, signal);
		} catch (error) {
			this._context.onFailure(error);
			return Left(new Refusal('invariantViolated', 'the request failed on the peer'));
		}
	}

	/** Stores a part; returns false if the request was refused, because incomplete requests take too many bytes. */
	private _addPart(id: number, served: ServedRequest, piece: Uint8Array): boolean {
		const parts = served.parts!;
		parts.pieces.push(piece);
		parts.sizeBytes += piece.length;
		this._partsBytes += piece.length;
		if (this._partsBytes <= this._context.options.maximumFramesBytes) {
			return true;
		}

		this._dropParts(served);
		this._served.delete(id);
		this._refuse(id, new Refusal('overloaded', 'too many bytes of unfinished requests'));
		return false;
	}

	private _dropParts(served: ServedRequest): void {
		this._partsBytes -= served.parts?.sizeBytes ?? 0;
		served.parts = undefined;
	}

	private _refuse(id: number, refusal: Refusal): void {
		this._context.writer.send(id, {$case: 'refused', value: toRefused(refusal)});
	}
}
