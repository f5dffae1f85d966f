/**
 * Joining of frames that arrived or wait in pieces.
 */
import {Buffer} from 'node:buffer';

/** The pieces as one; a single piece is not copied. */
export function joinFrames(pieces: readonly Uint8Array[], totalBytes: number): Uint8Array {
	return pieces.length === 1 ? pieces[0] : Buffer.concat(pieces, totalBytes);
}
