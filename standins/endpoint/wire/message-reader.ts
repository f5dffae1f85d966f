/**
 * Reads the fields of one frontend message.
 */
import {SqlError} from '../sql/sql-error.js';
import {asReadable, type ReadableBytes} from './bytes.js';

/** Reads fields in their order; throws a SqlError if the message is too short. */
export class MessageReader {
	private readonly _body: ReadableBytes;
	private _offset = 0;

	constructor(body: Uint8Array) {
		this._body = asReadable(body);
	}

	int16(): number {
		this._check(2);
		const value = this._body.readInt16BE(this._offset);
		this._offset += 2;
		return value;
	}

	int32(): number {
		this._check(4);
		const value = this._body.readInt32BE(this._offset);
		this._offset += 4;
		return value;
	}

	byte(): string {
		this._check(1);
		const value = String.fromCodePoint(this._body[this._offset]);
		this._offset += 1;
		return value;
	}

	cString(): string {
		const end = this._body.indexOf(0, this._offset);
		if (end === -1) {
			throw new SqlError('08P01', 'a string in the message is not terminated by a zero byte');
		}

		const text = this._body.toString('utf8', this._offset, end);
		this._offset = end + 1;
		return text;
	}

	bytes(sizeBytes: number): Uint8Array {
		this._check(sizeBytes);
		const value = this._body.subarray(this._offset, this._offset + sizeBytes);
		this._offset += sizeBytes;
		return value;
	}

	/** A list of 16-bit integers, preceded by its length. */
	int16List(): number[] {
		return Array.from({length: this.int16()}, () => this.int16());
	}

	private _check(sizeBytes: number): void {
		if (this._offset + sizeBytes > this._body.length) {
			throw new SqlError('08P01', 'the message is shorter than its fields');
		}
	}
}
