/**
 * Splits a byte stream into batches of complete backend messages without decoding them.
 */
import {int32At, joinBytes} from './bytes.js';
import {frameHeaderBytes} from './constants.js';
import {ProtocolError} from './protocol-error.js';

/** Collects chunks and returns complete messages as slices of them. */
export class FrameSplitter {
	private readonly _maximumMessageBytes: number;
	private _buffered: Uint8Array[] = [];
	private _bufferedBytes = 0;
	private _neededBytes = 0;

	constructor(maximumMessageBytes: number) {
		this._maximumMessageBytes = maximumMessageBytes;
	}

	/**
	 * Adds the next chunk and returns all messages that are complete now, back to back; undefined if
	 * there are none. Throws a ProtocolError on an invalid length. Bytes are copied only if a message
	 * is spread over several chunks, and then once.
	 */
	push(chunk: Uint8Array): Uint8Array | undefined {
		const data = this._join(chunk);
		if (!data) {
			return undefined;
		}

		const end = this._endOfWhole(data);
		if (end < data.length) {
			this._buffered = [data.subarray(end)];
			this._bufferedBytes = data.length - end;
		}

		return end === 0 ? undefined : data.subarray(0, end);
	}

	private _join(chunk: Uint8Array): Uint8Array | undefined {
		if (this._bufferedBytes === 0) {
			return chunk;
		}

		this._buffered.push(chunk);
		this._bufferedBytes += chunk.length;
		if (this._bufferedBytes < this._neededBytes) {
			return undefined;
		}

		const data = joinBytes(this._buffered, this._bufferedBytes);
		this._buffered = [];
		this._bufferedBytes = 0;
		return data;
	}

	private _endOfWhole(data: Uint8Array): number {
		let offset = 0;
		while (offset + frameHeaderBytes <= data.length) {
			const end = offset + 1 + this._lengthAt(data, offset + 1);
			if (end > data.length) {
				this._neededBytes = end - offset;
				return offset;
			}

			offset = end;
		}

		this._neededBytes = frameHeaderBytes;
		return offset;
	}

	private _lengthAt(data: Uint8Array, offset: number): number {
		const lengthBytes = int32At(data, offset);
		if (lengthBytes < 4) {
			throw new ProtocolError('message length is less than 4 bytes');
		}

		if (lengthBytes > this._maximumMessageBytes) {
			throw new ProtocolError('message exceeds the size limit');
		}

		return lengthBytes;
	}
}
