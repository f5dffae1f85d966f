/**
 * Parses arrays in text format, as drivers send them for `= ANY ($1)`.
 */
import {SqlError} from './sql-error.js';

const itemPattern = /"(?<quoted>(?:[^"\\]|\\.)*)"|(?<plain>[^",\{\}\\]+)/gv;

/** Parses a one-dimensional array; an item is undefined for NULL. */
export function parseArray(text: string): Array<string | undefined> {
	if (!text.startsWith('{') || !text.endsWith('}')) {
		throw new SqlError('22P02', `malformed array literal: "${text}"`);
	}

	return [...text.slice(1, -1).matchAll(itemPattern)].map(match => {
		const {quoted, plain} = match.groups ?? {};
		if (quoted !== undefined) {
			return quoted.replaceAll(/\\(?<escaped>.)/gv, '$<escaped>');
		}

		return plain?.toUpperCase() === 'NULL' ? undefined : plain?.trim();
	});
}
