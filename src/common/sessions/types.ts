/** Types of session tokens and marks. */
import type {LogPosition} from '../positions/log-position.js';

/** Signs bytes with the key that all nodes share. */
export type TokenSigner = {
	/** A signature of at least `signatureBytes` bytes. */
	sign(bytes: Uint8Array): Uint8Array;
};

/** What a token says. */
export type TokenContent = {
	/** Position per group, least recently advanced first. */
	readonly positions: ReadonlyMap<string, LogPosition>;
	/** Whether groups were left out to keep the token within its bounds. */
	readonly isTruncated: boolean;
};

/**
 * What the reads of a session without a token need: `primary` for proof that they are as
 * fresh as the primary, `sessionOnly` when the caller keeps to one connection per session.
 */
export type TokenlessReads = 'primary' | 'sessionOnly';
