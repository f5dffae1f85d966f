/**
 * Joins frames that are held in several pieces.
 */
import {Buffer} from 'node:buffer';

/** Concatenates the pieces; a single piece is returned without a copy. */
export function joinFrames(pieces: readonly Uint8Array[], totalBytes: number): Uint8Array {
	return pieces.length === 1 ? pieces[0] : Buffer.concat(pieces, totalBytes);
}
