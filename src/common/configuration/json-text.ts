/**
 * Writes values as JSON that other programs may have nested to any depth.
 */

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
