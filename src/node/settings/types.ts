/**
 * Types of the settings loader.
 */

/** One problem in a settings file. */
export type SettingsProblem = {
	/** Counted from one. */
	readonly line: number;
	/** Counted from one. */
	readonly column: number;
	/** Path within the document, such as `callers.users[0].user`; empty for the whole document. */
	readonly path: string;
	readonly found: string;
	readonly expected: string;
};

/** A step of a path within a settings document: the name of a property or an index. */
export type PathStep = string | number;

/** Values of the environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;
