/**
 * Messages of the PostgreSQL protocol for tests of homes.
 */

const encoder = new TextEncoder();
const decoder = new TextDecoder();
const headerBytes = 5;

/** One framed message. */
export function message(type: string, body: string): Uint8Array {
	const bytes = encoder.encode(`${type}0000${body}\0`);
	new DataView(bytes.buffer).setUint32(1, bytes.length - 1);
	return bytes;
}

/** An ErrorResponse with a SQLSTATE. */
export function errorMessage(sqlState: string): Uint8Array {
	return message('E', `C${sqlState}\0`);
}

/** A simple query. */
export function query(sql: string): Uint8Array {
	return message('Q', sql);
}

/** The text of a simple query. */
export function queryOf(frames: Uint8Array): string {
	return decoder.decode(frames.subarray(headerBytes, -1));
}
