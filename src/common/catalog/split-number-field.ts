/**
 * Splits a number field off the text of a JSON object, without parsing the text.
 */

/** A text without one of its numbers, and that number. */
export type SplitText = {
	/** Equal for two texts only if they differ in nothing but the number. */
	readonly rest: string;
	readonly number: number;
};

/** Creates a function that splits a field with a whole number off a text; the result is undefined if the text does not hold exactly one such field. */
export function splitterOf(field: string): (text: string) => SplitText | undefined {
	const key = `"${field}"`;
	const pattern = new RegExp(String.raw`${key}\s*:\s*(0|[1-9]\d{0,14})(?=\s*[,\}])`, 'v');
	return text => {
		// A quotation mark within a JSON string has a backslash, so this is a key; the zero byte marks its place.
		const match = pattern.exec(text);
		return match !== null && match.index === text.lastIndexOf(key)
			? {rest: text.replace(match[0], '\0'), number: Number(match[1])}
			: undefined;
	};
}
