/**
 * Distinguishes a request cycle of one simple statement from one that may contain several.
 */

const queryType = 0x51; // Q
const headerBytes = 5;
const semicolon = 0x3B;
const blanks = new Set([0x20, 0x09, 0x0A, 0x0D, 0]);

/**
 * Whether a cycle is one simple query without a semicolon before its end. A semicolon within a
 * literal also gives false, which is the safe result: the cycle is treated as several statements.
 */
export function isSingleQuery(frames: Uint8Array): boolean {
	if (frames[0] !== queryType || lengthOf(frames) !== frames.length - 1) {
		return false;
	}

	const first = frames.indexOf(semicolon, headerBytes);
	return first === -1 || frames.subarray(first + 1).every(byte => byte === semicolon || blanks.has(byte));
}

function lengthOf(frames: Uint8Array): number {
	return new DataView(frames.buffer, frames.byteOffset, frames.byteLength).getUint32(1);
}
