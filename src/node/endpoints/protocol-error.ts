/**
 * The error for malformed or unexpected messages of an endpoint, which is used within this folder only.
 */

/** A backend message is malformed or arrived out of order; the error ends the connection. */
export class ProtocolError extends Error {
	override readonly name = 'ProtocolError';
}

/** Returns the message of a caught value, for logs and faults. */
export function messageOf(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
