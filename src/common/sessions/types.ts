/** Types of session tokens and marks. */
import type {LogPosition} from '../positions/log-position.js';

/** Signs bytes with the key that all nodes share. */
export type TokenSigner = {
	/** A signature of at least `signatureBytes` bytes. */
	sign(bytes: Uint8Array): Uint8Array;
};

/** Content of a token. */
export type TokenContent = {
	/** Position per group, least recently advanced first. */
	readonly positions: ReadonlyMap<string, LogPosition>;
	/** Whether groups were left out to keep the token within its bounds. */
	readonly isTruncated: boolean;
};

/**
 * What reads of a session without a token require: with `primary`, a proof that they are as
 * fresh as the primary; with `sessionOnly`, no proof, for callers that use one connection per
 * session.
 */
export type TokenlessReads = 'primary' | 'sessionOnly';
