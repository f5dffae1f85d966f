/**
 * Texts as lines hold them: one character for each byte. Rows hold the same texts as JSON.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** A word of usual length that is not marked as encoded. */
const plainWord = /^[!-\}][!-~]{0,199}$/v;

/**
 * The text of a line that holds a row's text: one character for each byte of its UTF-8 form. Undefined
 * for a text with a lone surrogate, which has no UTF-8 form, so that no caller can send it.
 */
export function toLineText(text: string): string | undefined {
	return text.isWellFormed() ? Buffer.from(text, 'utf8').toString('latin1') : undefined;
}

/**
 * One word for a name: the name itself if it is a word, otherwise its UTF-16 code units after a tilde. A
 * word that begins with a tilde is encoded too, so that two names never have one word.
 */
export function toWord(name: string): string {
	return plainWord.test(name) ? name : `~${Buffer.from(name, 'utf16le').toString('base64url')}`;
}

/** Digest of a key, given the text of the line that holds it. */
export function digestOfLineText(lineText: string): string {
	return createHash('sha256').update(lineText, 'latin1').digest('base64url');
}

/** Digests of the keys that a row lists. An empty key gets none: a caller that sends no key would hold it. */
export function digestsOfRowTexts(keys: readonly string[]): string[] {
	return keys.filter(key => key !== '')
		.map(key => toLineText(key))
		.filter(lineText => lineText !== undefined)
		.map(lineText => digestOfLineText(lineText));
}
