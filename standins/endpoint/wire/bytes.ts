/**
 * Bytes with the reading methods of the host.
 */
import {Buffer} from 'node:buffer';

/** The same memory with the host's reading methods. */
export function asReadable(bytes: Uint8Array) {
	return Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Bytes with the host's reading methods. */
export type ReadableBytes = ReturnType<typeof asReadable>;
