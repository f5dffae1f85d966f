/**
 * Lines, columns and paths of places in a JSON document.
 */
import type {PathStep} from './types.js';

/** Line and column of an offset, both counted from one. */
export function lineAndColumnOf(text: string, offset: number): {line: number; column: number} {
	const before = text.slice(0, offset).split('\n');
	return {line: before.length, column: before.at(-1)!.length + 1};
}

/** Writes a path the way it is read in code. */
export function formatPath(path: readonly PathStep[]): string {
	return path
		.map(step => typeof step === 'number' ? `[${step}]` : `.${step}`)
		.join('')
		.replace(/^\./v, '');
}
