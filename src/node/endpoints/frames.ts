/**
 * Readers of single backend messages within a batch of complete ones.
 */
import {parsePosition, type LogPosition} from '../../common/positions/log-position.js';
import {int32At, textAt, uint16At} from './bytes.js';
import {backendTypes, frameHeaderBytes} from './constants.js';
import {ProtocolError} from './protocol-error.js';
import type {BackendError, FrameRange} from './types.js';

/** Returns the end, exclusive, of the message that starts at an offset. */
export function frameEnd(batch: Uint8Array, offset: number): number {
	return offset + 1 + int32At(batch, offset + 1);
}

/** Iterates over the messages of a batch of complete ones. */
export function * framesIn(batch: Uint8Array): Generator<FrameRange> {
	let offset = 0;
	while (offset < batch.length) {
		const end = frameEnd(batch, offset);
		yield {type: batch[offset], bodyStart: offset + frameHeaderBytes, end};
		offset = end;
	}
}

/** Reads the name and value of a ParameterStatus; throws a ProtocolError if one is not terminated. */
export function readParameter(batch: Uint8Array, bodyStart: number, end: number): {name: string; value: string} {
	const nameEnd = endOfText(batch, bodyStart, end);
	const valueEnd = endOfText(batch, nameEnd + 1, end);
	return {
		name: textAt(batch, bodyStart, nameEnd),
		value: textAt(batch, nameEnd + 1, valueEnd),
	};
}

/** Reads severity, SQLSTATE and message of an ErrorResponse; throws a ProtocolError if it is malformed. */
export function readError(batch: Uint8Array, bodyStart: number, end: number): BackendError {
	const fields = new Map<string, string>();
	let offset = bodyStart;
	while (offset < end && batch[offset] !== 0) {
		const valueEnd = endOfText(batch, offset + 1, end);
		fields.set(String.fromCodePoint(batch[offset]), textAt(batch, offset + 1, valueEnd));
		offset = valueEnd + 1;
	}

	const sqlState = fields.get('C');
	if (sqlState?.length !== 5) {
		throw new ProtocolError('error response without an SQLSTATE of 5 characters');
	}

	const severity = fields.get('V') ?? fields.get('S') ?? '';
	return {
		isFatal: severity === 'FATAL' || severity === 'PANIC',
		sqlState,
		message: fields.get('M') ?? '',
	};
}

/** Reads the columns of a DataRow as text, NULL as empty text; throws a ProtocolError if the row is truncated. */
export function readRow(batch: Uint8Array, bodyStart: number, end: number): string[] {
	if (bodyStart + 2 > end) {
		throw new ProtocolError('data row is truncated');
	}

	const columns: string[] = [];
	const count = uint16At(batch, bodyStart);
	let offset = bodyStart + 2;
	for (let index = 0; index < count; index++) {
		if (offset + 4 > end) {
			throw new ProtocolError('data row is truncated');
		}

		const valueBytes = Math.max(0, int32At(batch, offset));
		offset += 4;
		if (offset + valueBytes > end) {
			throw new ProtocolError('data row is truncated');
		}

		columns.push(textAt(batch, offset, offset + valueBytes));
		offset += valueBytes;
	}

	return columns;
}

/** Reads the position in a `quetzalstream.position` report; throws a ProtocolError if it is malformed. */
export function readPosition(value: string): LogPosition {
	const position = parsePosition(value);
	if (!position) {
		throw new ProtocolError('position report is malformed');
	}

	return position;
}

/** Returns a readable name of a message type, for error messages. */
export function describeType(type: number): string {
	const known = Object.entries(backendTypes).find(([, code]) => code === type);
	return known?.[0] ?? `type 0x${type.toString(16)}`;
}

function endOfText(batch: Uint8Array, start: number, end: number): number {
	const textEnd = batch.indexOf(0, start);
	if (start >= end || textEnd === -1 || textEnd >= end) {
		throw new ProtocolError('text is not terminated by a zero byte');
	}

	return textEnd;
}
