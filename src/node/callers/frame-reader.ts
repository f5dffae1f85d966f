/**
 * Splits the bytes that a socket receives into whole messages. Checks the length in each header
 * before it buffers the message, and pauses the socket when messages arrive faster than they
 * are taken.
 */
import type {Socket} from 'node:net';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {Refusal} from '../../common/errors/error-kinds.js';
import {joinFrames, readUint32} from '../../common/statements/frames.js';
import {readAheadBytes} from './constants.js';
import type {ReceiveBudget} from './receive-budget.js';

const lengthBytes = 4;

/** Reads messages from one socket. */
export class FrameReader implements Disposable {
	/** Maximum length of a message in bytes, as its length field counts them. */
	maximumBytes: number;
	private readonly _socket: Socket;
	private readonly _budget: ReceiveBudget;
	private _chunks: Uint8Array[] = [];
	private _bufferedBytes = 0;
	/** Bytes that must be buffered before a waiting reader is woken. */
	private _neededBytes = 0;
	/** Bytes reserved in the budget for the message being received and for taken ones that are not yet released. */
	private _reservedBytes = 0;
	/** Whether the reserved bytes include the next message. */
	private _isNextReserved = false;
	/** Bytes before the length field: one for the message code, none in start-up messages. */
	private _codeBytes = 0;
	private _isEnded = false;
	private _fault: Refusal | undefined;
	private _wake: (() => void) | undefined;

	private readonly _onData = this._receive.bind(this);
	private readonly _onEnd = this._end.bind(this);

	constructor(socket: Socket, maximumBytes: number, budget: ReceiveBudget) {
		this._socket = socket;
		this.maximumBytes = maximumBytes;
		this._budget = budget;
		socket.on('data', this._onData);
		socket.on('end', this._onEnd);
		socket.on('close', this._onEnd);
	}

	/** Why no further message can be read; undefined if there was no fault. */
	get fault(): Refusal | undefined {
		return this._fault;
	}

	/** Whether no bytes are buffered beyond the messages that were taken. */
	get isEmpty(): boolean {
		return this._bufferedBytes === 0;
	}

	/** Waits for the next whole message; undefined at the end of the input or after a fault. */
	async next(codeBytes = 1): Promise<Uint8Array | undefined> {
		for (;;) {
			const frame = this.take(codeBytes);
			if (frame !== undefined || this._fault !== undefined || this._isEnded) {
				return frame;
			}

			await new Promise<void>(resolve => {
				this._wake = resolve;
			});
		}
	}

	/** The next message if it has been received whole; otherwise undefined. */
	take(codeBytes = 1): Uint8Array | undefined {
		this._codeBytes = codeBytes;
		const frameBytes = this._frameBytes();
		if (frameBytes === undefined || this._bufferedBytes < frameBytes) {
			this._neededBytes = frameBytes ?? (codeBytes + lengthBytes);
			this._resume();
			return undefined;
		}

		this._neededBytes = 0;
		this._isNextReserved = false;
		return this._removeBytes(frameBytes);
	}

	/**
	 * Releases the bytes reserved for the messages taken so far. While they include the next
	 * message, nothing is released; a later call does that.
	 */
	releaseTaken(): void {
		if (!this._isNextReserved) {
			this._budget.release(this._reservedBytes);
			this._reservedBytes = 0;
		}
	}

	/** Stops reading; messages that were received and not taken are lost. */
	dispose(): void {
		this._socket.off('data', this._onData);
		this._socket.off('end', this._onEnd);
		this._socket.off('close', this._onEnd);
		this._isNextReserved = false;
		this.releaseTaken();
		this._end();
	}

	private _receive(chunk: Uint8Array): void {
		this._chunks.push(chunk);
		this._bufferedBytes += chunk.length;
		if (this._bufferedBytes > Math.max(readAheadBytes, this._neededBytes)) {
			this._socket.pause();
		}

		if (this._bufferedBytes >= this._neededBytes) {
			this._wakeUp();
		}
	}

	private _end(): void {
		this._isEnded = true;
		this._wakeUp();
	}

	/** Size of the next message with its header, in bytes; undefined until the header has been received, or after a fault. */
	private _frameBytes(): number | undefined {
		const headerBytes = this._codeBytes + lengthBytes;
		if (this._fault !== undefined || this._bufferedBytes < headerBytes) {
			return undefined;
		}

		const length = readUint32(this._firstChunk(headerBytes), this._codeBytes);
		if (length < lengthBytes) {
			this._fault = new Refusal('malformedMessage', 'message length is too small');
			return undefined;
		}

		if (length > this.maximumBytes) {
			this._fault = new Refusal('messageTooLarge', `limit is ${this.maximumBytes} bytes`);
			return undefined;
		}

		const frameBytes = this._codeBytes + length;
		return this._reserve(frameBytes) ? frameBytes : undefined;
	}

	/** Reserves the bytes of the next message before it is buffered; false if the budget has no room for them. */
	private _reserve(frameBytes: number): boolean {
		if (this._isNextReserved) {
			return true;
		}

		if (!this._budget.reserve(frameBytes)) {
			this._fault = new Refusal('overloaded', 'too much is being received');
			return false;
		}

		this._reservedBytes += frameBytes;
		this._isNextReserved = true;
		return true;
	}

	/** The first chunk, joined with the others if it holds fewer than `bytes`. */
	private _firstChunk(bytes: number): Uint8Array {
		const [first] = this._chunks;
		if (first && first.length >= bytes) {
			return first;
		}

		const joined = joinFrames(this._chunks);
		this._chunks = [joined];
		return joined;
	}

	private _removeBytes(bytes: number): Uint8Array {
		const head = this._firstChunk(bytes);
		this._bufferedBytes -= bytes;
		if (head.length === bytes) {
			this._chunks.shift();
		} else {
			this._chunks[0] = head.subarray(bytes);
		}

		return head.subarray(0, bytes);
	}

	private _resume(): void {
		if (this._socket.isPaused() && this._bufferedBytes <= Math.max(readAheadBytes, this._neededBytes)) {
			this._socket.resume();
		}
	}

	private _wakeUp(): void {
		const wake = this._wake;
		this._wake = undefined;
		wake?.();
	}
}
