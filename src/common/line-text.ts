/**
 * Texts of rows and names in the form in which lines hold them.
 */
import {Buffer} from 'node:buffer';

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
export function wordOf(name: string): string {
	return /^[!-\}][!-~]{0,199}$/v.test(name) ? name : `~${Buffer.from(name, 'utf16le').toString('base64url')}`;
}
