/**
 * One answer on its way from an endpoint to the asker.
 *
 * Short answers are gathered and passed on in one piece; long ones in pieces, each of which
 * passes the gate first where the answer may show or acknowledge something unconfirmed.
 */
import {Refusal} from '../errors/error-kinds.js';
import type {AnswerSink} from '../services/services.js';
import type {HomeOptions} from './constants.js';

/** Resolves with the reason why what was received so far must not be passed on. */
export type AnswerGate = () => Promise<Refusal | undefined>;

/** Bytes held back for all answers of one endpoint. */
export type BufferedBytes = {
	totalBytes: number;
};

type AnswerBufferOptions = Pick<HomeOptions, 'answerChunkBytes' | 'heldAnswerBytes' | 'heldTotalBytes'>;

type AnswerBufferSettings = {
	readonly sink: AnswerSink;
	readonly held: BufferedBytes;
	readonly options: AnswerBufferOptions;
	/** Undefined where nothing needs confirmation. */
	readonly gate: AnswerGate | undefined;
	/** Whether the gate applies from the first byte, or only once a commit was seen. */
	readonly isGatedFromStart: boolean;
	/** Called when a piece did not pass the gate. */
	readonly onStopped: () => void;
};

const headerBytes = 5;
const errorType = 0x45; // E
const commandCompleteType = 0x43; // C
const commitTag = 'COMMIT';
/** Messages that come before anything has run: 1 2 3 t n T S N. */
const preludeTypes = new Set([0x31, 0x32, 0x33, 0x74, 0x6E, 0x54, 0x53, 0x4E]);

/** Holds an answer back until it may be passed on. */
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

	/** Whether a part has been passed on. */
	get hasForwarded(): boolean {
		return this._hasForwarded;
	}

	/** Whether the endpoint reported a COMMIT. */
	get hasCommitted(): boolean {
		return this._hasCommitted;
	}

	/** Whether an error came before anything ran. */
	get startsWithError(): boolean {
		return this._firstType === errorType;
	}

	/** Why a piece did not pass the gate. */
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
		this._settings.held.totalBytes += frames.length;
		// An answer whose first message is not known may still turn out not to have run.
		const isReady = this._firstType !== undefined && this._forwarding === undefined;
		if (!isReady || !this._isFull()) {
			return;
		}

		this._forwarding = this._forwardThroughGate();
		return this._forwarding;
	}

	/** Passes on what is left; the caller has seen to the gate. */
	async flush(): Promise<void> {
		await this._forwarding;
		await this._forward(this._takeBuffered());
		this._isClosed = true;
	}

	/** Drops what is held and whatever still comes. */
	close(): void {
		this._isClosed = true;
		this._takeBuffered();
	}

	private get _isGated(): boolean {
		return this._settings.gate !== undefined && (this._settings.isGatedFromStart || this._hasCommitted);
	}

	private _isFull(): boolean {
		const {held, options} = this._settings;
		if (!this._isGated) {
			return this._bufferedBytes >= options.answerChunkBytes;
		}

		const isOverTotal = held.totalBytes >= options.heldTotalBytes && this._bufferedBytes >= options.answerChunkBytes;
		return isOverTotal || this._bufferedBytes >= options.heldAnswerBytes;
	}

	/** What comes while the gate is asked waits for the next turn. */
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
		this._settings.held.totalBytes -= this._bufferedBytes;
		this._chunks = [];
		this._bufferedBytes = 0;
		return bytes;
	}

	/** Looks at message headers only, never at rows. */
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

function concatenate(pieces: readonly Uint8Array[], size: number): Uint8Array {
	if (pieces.length === 1) {
		return pieces[0];
	}

	const joined = new Uint8Array(size);
	let offset = 0;
	for (const piece of pieces) {
		joined.set(piece, offset);
		offset += piece.length;
	}

	return joined;
}
