/**
 * Converts offsets in a text to lines and columns, and formats paths within a JSON document.
 */
import type {PathStep} from './types.js';

/** Line and column of an offset in a text, both counted from one. */
export function lineAndColumnOf(text: string, offset: number): {line: number; column: number} {
	const before = text.slice(0, offset).split('\n');
	return {line: before.length, column: before.at(-1)!.length + 1};
}

/** Formats a path in the notation of code, such as `callers.users[0].user`. */
export function formatPath(path: readonly PathStep[]): string {
	return path
		.map(step => typeof step === 'number' ? `[${step}]` : `.${step}`)
		.join('')
		.replace(/^\./v, '');
}
