/**
 * Scans texts that are too long to parse. Decides only whether a text is a single statement
 * that reads or changes data and uses nothing that a shared connection cannot carry.
 */

const firstWord = /^\s*(?:insert|update|delete|merge|select|with|values)\b/iv;
const forbidden = /\b(?:set_config|pg_(?:try_)?advisory_\w+|pg_temp)\b|\binto\s+(?:local\s+|global\s+)?temp/iv;
const special = /['"$;\/\-]/gv;
const nameChar = /[\w$\u{80}-\u{10FFFF}]/v;
const dollarTag = /\$(?:[A-Za-z_]\w*)?\$/vy;

/** Finds the end of the token that begins at an index; -1 if it has none, or if the text may hold more than one statement. */
type Skip = (text: string, index: number) => number;

const skips: ReadonlyMap<string, Skip> = new Map<string, Skip>([
	['\'', (text, index) => isEscapeQuote(text, index) ? escapedEnd(text, index) : endAfter(text, '\'', index + 1)],
	['"', (text, index) => endAfter(text, '"', index + 1)],
	['$', dollarEnd],
	['-', (text, index) => text[index + 1] === '-' ? lineEnd(text, index) : index + 1],
	// Block comments can be nested, which is not worth scanning for in such texts.
	['/', (text, index) => text[index + 1] === '*' ? -1 : index + 1],
	[';', (text, index) => text.slice(index + 1).trim() === '' ? text.length : -1],
]);

/** End of a dollar-quoted text. */
function dollarEnd(text: string, index: number): number {
	// Inside a name, a dollar sign does not begin a quoted text.
	if (nameChar.test(text[index - 1] ?? '')) {
		return index + 1;
	}

	dollarTag.lastIndex = index;
	const tag = dollarTag.exec(text)?.[0];
	return tag ? endAfter(text, tag, index + tag.length) : index + 1;
}

function endAfter(text: string, wanted: string, from: number): number {
	const found = text.indexOf(wanted, from);
	return found === -1 ? -1 : found + wanted.length;
}

function lineEnd(text: string, index: number): number {
	const end = endAfter(text, '\n', index);
	return end === -1 ? text.length : end;
}

/** Whether the quote begins an E'...' text; an `e` that ends a name before the quote, as in date'...', does not count. */
function isEscapeQuote(text: string, index: number): boolean {
	return /[eE]/v.test(text[index - 1] ?? '') && !nameChar.test(text[index - 2] ?? '');
}

/** End of a quoted text in which a backslash escapes. */
function escapedEnd(text: string, index: number): number {
	for (let at = index + 1; at < text.length; at++) {
		if (text[at] === '\\') {
			at++;
		} else if (text[at] === '\'') {
			return at + 1;
		}
	}

	return -1;
}

/** Whether the text is one data statement that can be relayed as a write. */
export function isSingleDataStatement(text: string): boolean {
	if (!firstWord.test(text) || forbidden.test(text)) {
		return false;
	}

	special.lastIndex = 0;
	for (let match = special.exec(text); match; match = special.exec(text)) {
		const end = skips.get(match[0])?.(text, match.index) ?? -1;
		if (end === -1) {
			return false;
		}

		special.lastIndex = end;
	}

	return true;
}
