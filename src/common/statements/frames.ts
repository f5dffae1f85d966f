/**
 * Encodes and decodes frontend and backend messages. A frame is one complete message: code,
 * length and body.
 */
import {errorAnswers, type Refusal} from '../errors/error-kinds.js';
import type {TransactionStatus} from '../services/services.js';
import {backendCodes, frontendCodes, textTypeOid} from './constants.js';

const encoder = new TextEncoder();
// Without `ignoreBOM`, a name that begins with U+FEFF would be read as the name that follows.
const decoder = new TextDecoder('utf-8', {ignoreBOM: true}); // eslint-disable-line @typescript-eslint/naming-convention -- name of the standard

/** Size of code and length, in bytes. */
export const headerBytes = 5;

/** Reads an unsigned 16-bit number; missing bytes count as zero. */
export function readUint16(bytes: Uint8Array, offset: number): number {
	return ((bytes[offset] ?? 0) * 0x1_00) + (bytes[offset + 1] ?? 0);
}

/** Reads an unsigned 32-bit number by arithmetic, because creating a DataView for every frame costs more. */
export function readUint32(bytes: Uint8Array, offset: number): number {
	return (readUint16(bytes, offset) * 0x1_00_00) + readUint16(bytes, offset + 2);
}

/** Writes a 32-bit number; the byte array stores each quotient modulo 256. */
export function writeUint32(bytes: Uint8Array, offset: number, value: number): void {
	bytes[offset] = Math.floor(value / 0x1_00_00_00);
	bytes[offset + 1] = Math.floor(value / 0x1_00_00);
	bytes[offset + 2] = Math.floor(value / 0x1_00);
	bytes[offset + 3] = value;
}

// eslint-disable-next-line @typescript-eslint/naming-convention -- name of the standard
const strictDecoder = new TextDecoder('utf-8', {fatal: true, ignoreBOM: true});

/** A zero-terminated text in a frame. */
export type TextField = {
	readonly text: string;
	/** Offset after the terminating zero. */
	readonly end: number;
};

/** Reads a zero-terminated text; undefined when the zero is missing. */
export function readText(frame: Uint8Array, offset: number): TextField | undefined {
	const zero = frame.indexOf(0, offset);
	return zero < offset ? undefined : {text: decoder.decode(frame.subarray(offset, zero)), end: zero + 1};
}

/** Whether bytes are UTF-8; texts of different bytes that are not may be read as one text. */
export function isUtf8(bytes: Uint8Array): boolean {
	try {
		strictDecoder.decode(bytes);
		return true;
	} catch {
		return false;
	}
}

function withoutZeros(text: string): string {
	return text.includes('\0') ? text.replaceAll('\0', '') : text;
}

/** Encodes a zero-terminated text; zeros inside it would break the message and are removed. */
export function encodeText(text: string): Uint8Array {
	return encoder.encode(`${withoutZeros(text)}\0`);
}

/** Builds a frame from a code and the parts of its body. */
export function makeFrame(code: number, ...parts: readonly Uint8Array[]): Uint8Array {
	let length = headerBytes;
	for (const part of parts) {
		length += part.length;
	}

	const frame = new Uint8Array(length);
	frame[0] = code;
	writeUint32(frame, 1, length - 1);
	let offset = headerBytes;
	for (const part of parts) {
		frame.set(part, offset);
		offset += part.length;
	}

	return frame;
}

/** Joins frames; a single frame is returned without a copy. */
export function joinFrames(frames: readonly Uint8Array[]): Uint8Array {
	if (frames.length === 1 && frames[0]) {
		return frames[0];
	}

	let length = 0;
	for (const frame of frames) {
		length += frame.length;
	}

	const joined = new Uint8Array(length);
	let offset = 0;
	for (const frame of frames) {
		joined.set(frame, offset);
		offset += frame.length;
	}

	return joined;
}

const statusCodes = {idle: 0x49, open: 0x54, failed: 0x45} as const satisfies Record<TransactionStatus, number>;
const readyFrames: Readonly<Record<TransactionStatus, Uint8Array>> = {
	idle: makeFrame(backendCodes.readyForQuery, Uint8Array.of(statusCodes.idle)),
	open: makeFrame(backendCodes.readyForQuery, Uint8Array.of(statusCodes.open)),
	failed: makeFrame(backendCodes.readyForQuery, Uint8Array.of(statusCodes.failed)),
};

/** A ReadyForQuery message. */
export function readyForQuery(status: TransactionStatus): Uint8Array {
	return readyFrames[status];
}

/** A ParameterStatus message. */
export function parameterStatus(name: string, value: string): Uint8Array {
	return makeFrame(backendCodes.parameterStatus, encoder.encode(`${withoutZeros(name)}\0${withoutZeros(value)}\0`));
}

/** A CommandComplete message. */
export function commandComplete(tag: string): Uint8Array {
	return makeFrame(backendCodes.commandComplete, encodeText(tag));
}

/** A RowDescription message of one column of type text. */
export function textRowDescription(column: string): Uint8Array {
	const type = new Uint8Array(18);
	writeUint32(type, 6, textTypeOid);
	type.fill(0xFF, 10, 16);
	return makeFrame(backendCodes.rowDescription, Uint8Array.of(0, 1), encodeText(column), type);
}

/** A DataRow message of one text value; the text and binary formats of a text are the same. */
export function textRow(value: string): Uint8Array {
	const bytes = encoder.encode(value);
	const length = new Uint8Array(4);
	writeUint32(length, 0, bytes.length);
	return makeFrame(backendCodes.dataRow, Uint8Array.of(0, 1), length, bytes);
}

/** An ErrorResponse message for a refusal; its hint has a fixed format that programs can parse. */
export function errorResponse(refusal: Refusal, severity: 'ERROR' | 'FATAL' = errorAnswers[refusal.kind].severity): Uint8Array {
	const answer = errorAnswers[refusal.kind];
	const fields = [
		`S${severity}`,
		`V${severity}`,
		`C${answer.sqlState}`,
		`M${answer.message}`,
		...(refusal.detail ? [`D${refusal.detail}`] : []),
		`Houtcome=${answer.outcome} retry_after_ms=${refusal.retryAfterMs} kind=${refusal.kind}`,
	];
	return makeFrame(backendCodes.errorResponse, ...fields.map(field => encodeText(field)), Uint8Array.of(0));
}

/** A Query message of the simple protocol. */
export function queryFrame(text: string): Uint8Array {
	return makeFrame(frontendCodes.query, encodeText(text));
}

/** The Sync message. */
export const syncFrame = makeFrame(frontendCodes.sync);
