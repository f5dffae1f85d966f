/**
 * JSON texts that another program may have left in a row: valid JSON that is no entry, and text that is
 * not JSON.
 */

/** Levels of nesting at which `JSON.stringify` and any recursive function overflow the stack. */
const overflowingLevels = 10_000;

/** An array that is nested so many levels deep, as JSON. */
export function nestedArrays(levels = overflowingLevels): string {
	return '['.repeat(levels) + ']'.repeat(levels);
}

/** An object that is nested so many levels deep, as JSON. */
export function nestedObjects(levels = overflowingLevels): string {
	return '{"a":'.repeat(levels) + 'null' + '}'.repeat(levels);
}

/** JSON texts of numbers that are out of range, or that lose digits when they are parsed. */
export const oddNumbers = ['1e400', '-1e400', '1e21', '9007199254740993', '-9007199254740993', '-0', '-1', '0.5', '2147483648'] as const;

/** JSON texts of a value in the place of any field, apart from those that are nested deep. */
export const oddShallowValues: readonly string[] = [
	...oddNumbers, 'null', 'true', '""', String.raw`"\u0000"`, String.raw`"\ud800"`, '"__proto__"', '[]', '{}', '{"__proto__":1}', '[[[]]]',
];

/** JSON texts of a value in the place of any field. */
export const oddValues: readonly string[] = [...oddShallowValues, nestedArrays(), nestedObjects()];

/** Texts in the place of a whole row, none above 64 KiB, the usual maximum of a store. */
export const oddRows: readonly string[] = [
	...oddValues, '', ' ', '{', '[1,', 'no JSON', '\uFEFF{}', '\u0000', nestedArrays(32_000), `[${'0,'.repeat(32_000)}0]`, `"${'x'.repeat(64_000)}"`,
];

/** Texts in the place of a whole row that only a store without a maximum holds. */
export const hugeRows: readonly string[] = [nestedArrays(100_000), nestedObjects(100_000), `[${'0,'.repeat(1_000_000)}0]`, `"${'x'.repeat(1_000_000)}"`];

/** Keys and names of any text. */
export const oddKeys: readonly string[] = ['__proto__', 'constructor', '', ' ', 'x'.repeat(200), 'a b', 'a\r\nb', '\u0000', '\u202E', '名', '*'];

/** Returns the JSON text of an object with one field's value replaced by a JSON text. */
export function withField(fields: Readonly<Record<string, unknown>>, name: string, text: string): string {
	const others = Object.entries(fields).filter(([key]) => key !== name).map(([key, value]) => `${JSON.stringify(key)}:${JSON.stringify(value)}`);
	return `{${[...others, `${JSON.stringify(name)}:${text}`].join(',')}}`;
}
