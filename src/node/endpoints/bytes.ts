/**
 * Readers of numbers and text in protocol messages.
 */

const decoder = new TextDecoder();

/** Reads a signed 32-bit number, most significant byte first. */
export function int32At(bytes: Uint8Array, offset: number): number {
	/* eslint-disable no-bitwise -- the bytes of a number are combined by shifts. */
	return (bytes[offset] << 24) | (bytes[offset + 1] << 16) | (bytes[offset + 2] << 8) | bytes[offset + 3];
	/* eslint-enable no-bitwise */
}

/** Reads an unsigned 16-bit number, most significant byte first. */
export function uint16At(bytes: Uint8Array, offset: number): number {
	return (bytes[offset] * 256) + bytes[offset + 1];
}

/** Reads UTF-8 text; `end` is exclusive. */
export function textAt(bytes: Uint8Array, start: number, end: number): string {
	return decoder.decode(bytes.subarray(start, end));
}

/** Concatenates chunks into a new array. */
export function joinBytes(chunks: readonly Uint8Array[], totalBytes: number): Uint8Array {
	const joined = new Uint8Array(totalBytes);
	let offset = 0;
	for (const chunk of chunks) {
		joined.set(chunk, offset);
		offset += chunk.length;
	}

	return joined;
}
