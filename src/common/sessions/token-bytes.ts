/** Encodes and decodes the fields of a token's body. */

/** Writes fields one after another. */
export class ByteWriter {
	private readonly _bytes: number[] = [];

	get length(): number {
		return this._bytes.length;
	}

	byte(value: number): void {
		this._bytes.push(value);
	}

	bytes(values: Uint8Array): void {
		this._bytes.push(...values);
	}

	/** Writes a variable-length integer, seven bits per byte, least significant first; exact up to 2^53. */
	varint(value: number): void {
		let rest = value;
		while (rest >= 0x80) {
			this._bytes.push((rest % 0x80) + 0x80);
			rest = Math.floor(rest / 0x80);
		}

		this._bytes.push(rest);
	}

	toBytes(): Uint8Array {
		return Uint8Array.from(this._bytes);
	}
}

/** Reads fields in order; `isMalformed` is set once bytes are missing or a number is out of range. */
export class ByteReader {
	isMalformed = false;
	private readonly _bytes: Uint8Array;
	private _offset = 0;

	constructor(bytes: Uint8Array) {
		this._bytes = bytes;
	}

	/** Whether all bytes were read and no field was malformed. */
	get isAtEnd(): boolean {
		return !this.isMalformed && this._offset === this._bytes.length;
	}

	byte(): number {
		const value = this._bytes[this._offset++];
		if (value === undefined) {
			this.isMalformed = true;
			return 0;
		}

		return value;
	}

	bytes(count: number): Uint8Array {
		const end = this._offset + count;
		if (end > this._bytes.length) {
			this.isMalformed = true;
			return new Uint8Array(0);
		}

		const values = this._bytes.subarray(this._offset, end);
		this._offset = end;
		return values;
	}

	varint(): number {
		let value = 0;
		for (let scale = 1; scale <= Number.MAX_SAFE_INTEGER; scale *= 0x80) {
			const byte = this.byte();
			value += (byte % 0x80) * scale;
			if (byte < 0x80) {
				this.isMalformed ||= !Number.isSafeInteger(value);
				return value;
			}
		}

		this.isMalformed = true;
		return 0;
	}
}
