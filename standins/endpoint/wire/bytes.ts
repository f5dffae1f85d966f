/**
 * Views of byte arrays as Node.js buffers, for their methods to read numbers and text.
 */
import {Buffer} from 'node:buffer';

/** Returns a buffer over the same memory. */
export function asReadable(bytes: Uint8Array) {
	return Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Bytes with the reading methods of a Node.js buffer. */
export type ReadableBytes = ReturnType<typeof asReadable>;
