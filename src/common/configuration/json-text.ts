/**
 * JSON from and for other programs, which may nest it to any depth.
 */

/** Part of a value that a log line repeats; an answer may hold a megabyte. */
const loggedCharacters = 200;

/** Levels that remain of a value that is nested too deep; the entries of all known formats have at most five. */
const keptLevels = 32;

/**
 * Writes a parsed JSON value as text. `JSON.parse` reads any depth, but `JSON.stringify` overflows the stack
 * at some thousand levels; what lies below `keptLevels` is then replaced by null. A number that is too large
 * to be represented is written as the largest one, not as null.
 */
export function toJsonText(value: unknown): string {
	try {
		return JSON.stringify(value, limitNumber);
	} catch {
		return JSON.stringify(withoutDeepLevels(value, keptLevels), limitNumber);
	}
}

/** The beginning of a parsed JSON value as text, for a log line. */
export function toLoggedJson(value: unknown): string {
	return toJsonText(value).slice(0, loggedCharacters);
}

/** Parses JSON text of any depth; undefined if the text is not JSON. */
export function parseJsonText(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function limitNumber(_key: string, value: unknown): unknown {
	return typeof value === 'number' ? Math.max(-Number.MAX_VALUE, Math.min(value, Number.MAX_VALUE)) : value;
}

function withoutDeepLevels(value: unknown, levels: number): unknown {
	if (typeof value !== 'object' || value === null) {
		return value;
	}

	if (levels === 0) {
		return null;
	}

	return Array.isArray(value)
		? value.map(item => withoutDeepLevels(item, levels - 1))
		: Object.fromEntries(Object.entries(value).map(([key, item]) => [key, withoutDeepLevels(item, levels - 1)]));
}
