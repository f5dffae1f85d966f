/**
 * Types of the settings loader.
 */

/** One thing that is wrong with a file. */
export type SettingsProblem = {
	/** Counted from one. */
	readonly line: number;
	/** Counted from one. */
	readonly column: number;
	/** Place within the document, such as `callers.users[0].user`; empty for the whole. */
	readonly path: string;
	readonly found: string;
	readonly expected: string;
};

/** A step of a path: a property's name or an index. */
export type PathStep = string | number;

/** Reads an environment variable. */
export type Environment = Readonly<Record<string, string | undefined>>;
