/**
 * Splits a stream of bytes into lines that end in CR LF. Each byte becomes one character, so
 * that text of any encoding passes unchanged.
 */

import {Buffer} from 'node:buffer';

const lineEnd = '\r\n';

/** Thrown for a line that is longer than the protocol allows. */
export class LineTooLongError extends Error {
	override readonly name = 'LineTooLongError';
	/** Lines that were completed before it. */
	readonly precedingLines: readonly string[];

	constructor(maximumBytes: number, precedingLines: readonly string[]) {
		super(`a line is longer than ${maximumBytes} bytes`);
		this.precedingLines = precedingLines;
	}
}

/** Splits chunks into lines, and buffers an incomplete last line until its end arrives. */
export class LineSplitter {
	private readonly _maximumBytes: number;
	private _buffered = '';

	constructor(maximumBytes: number) {
		this._maximumBytes = maximumBytes;
	}

	/** Number of buffered bytes of the incomplete line. */
	get bufferedBytes(): number {
		return this._buffered.length;
	}

	/** Returns the lines that a chunk completes, without their line ends; throws `LineTooLongError` if one is too long. */
	push(chunk: Uint8Array): string[] {
		const text = this._buffered + Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength).toString('latin1');
		const lines = text.split(lineEnd);
		this._buffered = lines.pop()!;
		// A CR at the end may begin the line end, which is no part of the line.
		const incompleteBytes = this._buffered.endsWith('\r') ? this._buffered.length - 1 : this._buffered.length;
		const tooLong = lines.findIndex(line => line.length > this._maximumBytes);
		if (incompleteBytes > this._maximumBytes || tooLong !== -1) {
			throw new LineTooLongError(this._maximumBytes, tooLong === -1 ? lines : lines.slice(0, tooLong));
		}

		return lines;
	}
}
