/**
 * Splits a byte stream into frontend messages, without copying those that arrive in one chunk.
 */
import {Buffer} from 'node:buffer';
import {asReadable} from './bytes.js';

/** One frontend message. */
export type Frame = {
	readonly code: number;
	/** Content after the length field. */
	readonly body: Uint8Array;
};

const headerSizeBytes = 5;

/** Collects chunks and returns the messages in them. */
export class FrameReader {
	private _chunk = asReadable(Buffer.alloc(0));
	private _offset = 0;
	private readonly _pendingChunks: Uint8Array[] = [];

	/** Adds received bytes. */
	add(bytes: Uint8Array): void {
		this._pendingChunks.push(bytes);
	}

	/** Returns the next complete message; undefined if more bytes are needed. Throws if its length field is invalid. */
	next(): Frame | undefined {
		if (!this._fill(headerSizeBytes)) {
			return undefined;
		}

		const sizeBytes = this._chunk.readInt32BE(this._offset + 1) + 1;
		if (sizeBytes < headerSizeBytes) {
			throw new Error('invalid message length: expected at least 4');
		}

		if (!this._fill(sizeBytes)) {
			return undefined;
		}

		const code = this._chunk[this._offset];
		const body = this._chunk.subarray(this._offset + headerSizeBytes, this._offset + sizeBytes);
		this._offset += sizeBytes;
		return {code, body};
	}

	private _fill(sizeBytes: number): boolean {
		const available = this._chunk.length - this._offset;
		if (available >= sizeBytes) {
			return true;
		}

		if (this._pendingChunks.length === 0) {
			return false;
		}

		this._chunk = available === 0 && this._pendingChunks.length === 1 ? asReadable(this._pendingChunks[0]) : Buffer.concat([this._chunk.subarray(this._offset), ...this._pendingChunks]);
		this._pendingChunks.length = 0;
		this._offset = 0;
		return this._chunk.length >= sizeBytes;
	}
}
