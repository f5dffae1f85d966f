/**
 * State of a session that is applied to every connection on which its statements run: values and
 * prepared statements.
 */

/** A statement that a session has prepared. */
export type PreparedStatement = {
	readonly access: 'read' | 'write';
	readonly shape: string;
};

/** Values and prepared statements of one session. */
export type SessionState = {
	readonly values: Map<string, string>;
	readonly prepared: Map<string, PreparedStatement>;
};

/** The state of a session that has just begun. */
export function emptySessionState(): SessionState {
	return {values: new Map(), prepared: new Map()};
}
