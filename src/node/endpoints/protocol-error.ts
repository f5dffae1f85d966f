/**
 * The error by which the endpoint slice reports malformed or unexpected messages to itself.
 */

/** A backend message that is malformed or came out of order; it ends the connection. */
export class ProtocolError extends Error {
	override readonly name = 'ProtocolError';
}

/** What a caught value says, for people. */
export function messageOf(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
