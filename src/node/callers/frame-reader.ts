/**
 * Cuts what a socket receives into whole messages. Checks the length in each header before
 * it gathers the message, and pauses the socket when the connection falls behind.
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
	/** Longest message that is taken, in bytes of its length field. */
	maximumBytes: number;
	private readonly _socket: Socket;
	private readonly _budget: ReceiveBudget;
	private _chunks: Uint8Array[] = [];
	private _bufferedBytes = 0;
	/** Bytes that must have come before the next look at them. */
	private _neededBytes = 0;
	/** Bytes of messages that were begun or taken and are not settled. */
	private _reservedBytes = 0;
	/** Whether the next message is among the reserved bytes. */
	private _isNextReserved = false;
	/** Bytes before the length: one for the code, none in start-up messages. */
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

	/** Why no further message can be read. */
	get fault(): Refusal | undefined {
		return this._fault;
	}

	/** Whether nothing has come beyond the messages that were taken. */
	get isEmpty(): boolean {
		return this._bufferedBytes === 0;
	}

	/** The next message once it has come; undefined at the end or after a fault. */
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

	/** The next message if it has come whole. */
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
		return this._cut(frameBytes);
	}

	/** Says that the messages taken so far are not kept any longer. */
	releaseTaken(): void {
		if (!this._isNextReserved) {
			this._budget.release(this._reservedBytes);
			this._reservedBytes = 0;
		}
	}

	/** Stops reading; what was received and not taken is lost. */
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

	/** Whole size of the next message; undefined while its header has not come. */
	private _frameBytes(): number | undefined {
		const headerBytes = this._codeBytes + lengthBytes;
		if (this._fault !== undefined || this._bufferedBytes < headerBytes) {
			return undefined;
		}

		const length = readUint32(this._head(headerBytes), this._codeBytes);
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

	/** Reserves room for the next message before it is gathered. */
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

	/** First chunk, made to hold at least so many bytes. */
	private _head(bytes: number): Uint8Array {
		const [first] = this._chunks;
		if (first && first.length >= bytes) {
			return first;
		}

		const joined = joinFrames(this._chunks);
		this._chunks = [joined];
		return joined;
	}

	private _cut(bytes: number): Uint8Array {
		const head = this._head(bytes);
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
