/**
 * Encodes backend messages one after the other into one buffer, so that a response is sent in one write.
 */
import {Buffer} from 'node:buffer';
import type {Row} from '../types.js';
import {formatValue} from '../sql/sql-types.js';
import type {ResultColumn} from '../sql/plan.js';
import type {SqlError} from '../sql/sql-error.js';

const initialSizeBytes = 8192;

/** Type bytes of the messages that a server sends. */
const messageTypes = {
	authentication: 0x52,
	parameterStatus: 0x53,
	backendKeyData: 0x4B,
	readyForQuery: 0x5A,
	rowDescription: 0x54,
	dataRow: 0x44,
	commandComplete: 0x43,
	emptyQuery: 0x49,
	error: 0x45,
	parseComplete: 0x31,
	bindComplete: 0x32,
	closeComplete: 0x33,
	noData: 0x6E,
	parameterDescription: 0x74,
	portalSuspended: 0x73,
} as const;

/** Encodes messages; `take` returns the bytes. */
export class BackendMessageWriter {
	private _buffer = Buffer.allocUnsafe(initialSizeBytes);
	private _length = 0;
	private _start = 0;

	/** Number of bytes that were written since the last `take`. */
	get sizeBytes(): number {
		return this._length;
	}

	/** Returns everything that was written since the last call. */
	take(): Uint8Array {
		const taken = this._buffer.subarray(0, this._length);
		// The unused rest of the buffer is reused for the next messages, to avoid an allocation.
		this._buffer = this._buffer.length - this._length >= initialSizeBytes / 2 ? this._buffer.subarray(this._length) : Buffer.allocUnsafe(initialSizeBytes);
		this._length = 0;
		return taken;
	}

	authenticationOk(): void {
		this._begin(messageTypes.authentication);
		this._int32(0);
		this._end();
	}

	parameterStatus(name: string, value: string): void {
		this._begin(messageTypes.parameterStatus);
		this._cString(name);
		this._cString(value);
		this._end();
	}

	backendKeyData(processId: number, secret: number): void {
		this._begin(messageTypes.backendKeyData);
		this._int32(processId);
		this._int32(secret);
		this._end();
	}

	readyForQuery(status: string): void {
		this._begin(messageTypes.readyForQuery);
		this._byte(status.codePointAt(0) ?? 0);
		this._end();
	}

	rowDescription(columns: readonly ResultColumn[]): void {
		this._begin(messageTypes.rowDescription);
		this._int16(columns.length);
		for (const {name, type} of columns) {
			this._cString(name);
			this._int32(0);
			this._int16(0);
			this._int32(type.oid);
			this._int16(type.size);
			this._int32(-1);
			this._int16(0);
		}

		this._end();
	}

	dataRow(row: Row): void {
		this._begin(messageTypes.dataRow);
		this._int16(row.length);
		for (const value of row) {
			if (value === undefined) {
				this._int32(-1);
			} else {
				this._prefixedText(formatValue(value));
			}
		}

		this._end();
	}

	commandComplete(tag: string): void {
		this._begin(messageTypes.commandComplete);
		this._cString(tag);
		this._end();
	}

	parameterDescription(oids: readonly number[]): void {
		this._begin(messageTypes.parameterDescription);
		this._int16(oids.length);
		for (const oid of oids) {
			this._int32(oid);
		}

		this._end();
	}

	error(error: Pick<SqlError, 'sqlState' | 'message'>, severity: 'ERROR' | 'FATAL'): void {
		this._begin(messageTypes.error);
		for (const [field, text] of [['S', severity], ['V', severity], ['C', error.sqlState], ['M', error.message]]) {
			this._byte(field.codePointAt(0) ?? 0);
			this._cString(text);
		}

		this._byte(0);
		this._end();
	}

	parseComplete(): void {
		this._emptyMessage(messageTypes.parseComplete);
	}

	bindComplete(): void {
		this._emptyMessage(messageTypes.bindComplete);
	}

	closeComplete(): void {
		this._emptyMessage(messageTypes.closeComplete);
	}

	noData(): void {
		this._emptyMessage(messageTypes.noData);
	}

	portalSuspended(): void {
		this._emptyMessage(messageTypes.portalSuspended);
	}

	emptyQuery(): void {
		this._emptyMessage(messageTypes.emptyQuery);
	}

	private _emptyMessage(code: number): void {
		this._begin(code);
		this._end();
	}

	private _begin(code: number): void {
		this._ensureCapacity(5);
		this._start = this._length;
		this._buffer[this._length] = code;
		this._length += 5;
	}

	private _end(): void {
		this._buffer.writeInt32BE(this._length - this._start - 1, this._start + 1);
	}

	private _byte(value: number): void {
		this._ensureCapacity(1);
		this._buffer[this._length] = value;
		this._length += 1;
	}

	private _int16(value: number): void {
		this._ensureCapacity(2);
		this._length = this._buffer.writeInt16BE(value, this._length);
	}

	private _int32(value: number): void {
		this._ensureCapacity(4);
		this._length = this._buffer.writeInt32BE(Math.trunc(value), this._length);
	}

	private _cString(text: string): void {
		this._text(text);
		this._byte(0);
	}

	private _prefixedText(text: string): void {
		const at = this._length;
		this._int32(0);
		const sizeBytes = this._text(text);
		this._buffer.writeInt32BE(sizeBytes, at);
	}

	/** Reserves space for the longest possible encoding (3 bytes for each UTF-16 code unit), which avoids measuring the text first. */
	private _text(text: string): number {
		this._ensureCapacity(text.length * 3);
		const sizeBytes = this._buffer.write(text, this._length, 'utf8');
		this._length += sizeBytes;
		return sizeBytes;
	}

	private _ensureCapacity(sizeBytes: number): void {
		if (this._length + sizeBytes > this._buffer.length) {
			const larger = Buffer.allocUnsafe(Math.max(this._buffer.length * 2, initialSizeBytes, this._length + sizeBytes));
			this._buffer.copy(larger, 0, 0, this._length);
			this._buffer = larger;
		}
	}
}
