/**
 * Buffers one answer between the endpoint and the requester.
 *
 * A short answer is forwarded in one piece, a long one in chunks. Where an answer may reveal or
 * acknowledge something unconfirmed, each chunk must pass the gate before it is forwarded.
 */
import {Refusal} from '../errors/error-kinds.js';
import type {AnswerSink} from '../services/services.js';
import type {HomeOptions} from './constants.js';

/** Resolves with the reason why the bytes received so far must not be forwarded; undefined if they may be. */
export type AnswerGate = () => Promise<Refusal | undefined>;

/** Number of bytes buffered for all answers of one endpoint. */
export type BufferedBytes = {
	totalBytes: number;
};

type AnswerBufferOptions = Pick<HomeOptions, 'answerChunkBytes' | 'heldAnswerBytes' | 'heldTotalBytes'>;

type AnswerBufferSettings = {
	readonly sink: AnswerSink;
	readonly buffered: BufferedBytes;
	readonly options: AnswerBufferOptions;
	/** Undefined if the answer needs no confirmation. */
	readonly gate: AnswerGate | undefined;
	/** Whether the gate applies from the first byte, or only once a commit was seen. */
	readonly isGatedFromStart: boolean;
	/** Called when a chunk did not pass the gate or could not be forwarded. */
	readonly onStopped: () => void;
};

const headerBytes = 5;
const errorType = 0x45; // E
const commandCompleteType = 0x43; // C
const commitTag = 'COMMIT';
/** Types of messages that may come before anything has run: 1 2 3 t n T S N. */
const preludeTypes = new Set([0x31, 0x32, 0x33, 0x74, 0x6E, 0x54, 0x53, 0x4E]);

/** Buffers an answer until it may be forwarded. */
export class AnswerBuffer implements AnswerSink {
	private readonly _settings: AnswerBufferSettings;
	private _chunks: Uint8Array[] = [];
	private _bufferedBytes = 0;
	private _firstType: number | undefined;
	private _hasCommitted = false;
	private _hasForwarded = false;
	private _isClosed = false;
	private _stopReason: Refusal | undefined;
	private _forwarding: Promise<void> | undefined;

	constructor(settings: AnswerBufferSettings) {
		this._settings = settings;
	}

	/** Whether a part of the answer has been forwarded. */
	get hasForwarded(): boolean {
		return this._hasForwarded;
	}

	/** Whether the endpoint reported a COMMIT. */
	get hasCommitted(): boolean {
		return this._hasCommitted;
	}

	/** Whether the endpoint reported an error before anything ran. */
	get startsWithError(): boolean {
		return this._firstType === errorType;
	}

	/** Why forwarding stopped: a chunk did not pass the gate or the sink failed; undefined otherwise. */
	get stopReason(): Refusal | undefined {
		return this._stopReason;
	}

	push(frames: Uint8Array): void | Promise<void> {
		if (this._isClosed) {
			return;
		}

		this._scan(frames);
		this._chunks.push(frames);
		this._bufferedBytes += frames.length;
		this._settings.buffered.totalBytes += frames.length;
		// Until the first message after the prelude is known, the request may still turn out not to have run.
		const isReady = this._firstType !== undefined && this._forwarding === undefined;
		if (!isReady || !this._isFull()) {
			return;
		}

		this._forwarding = this._forwardThroughGate();
		return this._forwarding;
	}

	/** Forwards what is still buffered, without the gate: the caller must have confirmed the answer. */
	async flush(): Promise<void> {
		await this._forwarding;
		await this._forward(this._takeBuffered());
		this._isClosed = true;
	}

	/** Drops the buffered bytes and everything that arrives later. */
	close(): void {
		this._isClosed = true;
		this._takeBuffered();
	}

	private get _isGated(): boolean {
		return this._settings.gate !== undefined && (this._settings.isGatedFromStart || this._hasCommitted);
	}

	private _isFull(): boolean {
		const {buffered: held, options} = this._settings;
		if (!this._isGated) {
			return this._bufferedBytes >= options.answerChunkBytes;
		}

		const isOverTotal = held.totalBytes >= options.heldTotalBytes && this._bufferedBytes >= options.answerChunkBytes;
		return isOverTotal || this._bufferedBytes >= options.heldAnswerBytes;
	}

	/** Bytes that arrive while the gate is pending stay buffered for the next chunk. */
	private async _forwardThroughGate(): Promise<void> {
		const bytes = this._takeBuffered();
		const reason = this._isGated ? await this._settings.gate?.() : undefined;
		if (reason) {
			this._stop(reason);
		} else if (!this._isClosed) {
			await this._forward(bytes);
		}

		this._forwarding = undefined;
	}

	private async _forward(bytes: Uint8Array): Promise<void> {
		if (bytes.length === 0) {
			return;
		}

		this._hasForwarded = true;
		try {
			await this._settings.sink.push(bytes);
		} catch (error) {
			this._stop(new Refusal('answerCutShort', String(error)));
		}
	}

	private _stop(reason: Refusal): void {
		this._stopReason = reason;
		this.close();
		this._settings.onStopped();
	}

	private _takeBuffered(): Uint8Array {
		const bytes = concatenate(this._chunks, this._bufferedBytes);
		this._settings.buffered.totalBytes -= this._bufferedBytes;
		this._chunks = [];
		this._bufferedBytes = 0;
		return bytes;
	}

	/** Scans message headers and command tags only, never rows. */
	private _scan(frames: Uint8Array): void {
		let offset = 0;
		while (offset + headerBytes <= frames.length) {
			const type = frames[offset];
			if (this._firstType === undefined && !preludeTypes.has(type)) {
				this._firstType = type;
			}

			if (type === commandCompleteType && hasCommitTag(frames, offset + headerBytes)) {
				this._hasCommitted = true;
			}

			offset += 1 + readLength(frames, offset + 1);
		}
	}
}

function readLength(bytes: Uint8Array, offset: number): number {
	return (bytes[offset] * 0x1_00_00_00) + (bytes[offset + 1] * 0x1_00_00) + (bytes[offset + 2] * 0x1_00) + bytes[offset + 3];
}

function hasCommitTag(bytes: Uint8Array, offset: number): boolean {
	for (let index = 0; index < commitTag.length; index++) {
		if (bytes[offset + index] !== commitTag.codePointAt(index)) {
			return false;
		}
	}

	return true;
}

function concatenate(chunks: readonly Uint8Array[], size: number): Uint8Array {
	if (chunks.length === 1) {
		return chunks[0];
	}

	const joined = new Uint8Array(size);
	let offset = 0;
	for (const chunk of chunks) {
		joined.set(chunk, offset);
		offset += chunk.length;
	}

	return joined;
}
