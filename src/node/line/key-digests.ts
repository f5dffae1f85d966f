/**
 * Digests of API keys. Callers send a key as bytes, each of which a line holds as one character; rows
 * hold it as text.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Digest of a key, given the text of the line that holds it. */
export function digestOfLineText(lineText: string): string {
	return createHash('sha256').update(lineText, 'latin1').digest('base64url');
}

/** Digests of the keys that a row lists. A key with a lone surrogate has no UTF-8 form, so that no caller can send it, and gets none. */
export function digestsOfRowTexts(keys: readonly string[]): string[] {
	return keys
		.filter(key => key.isWellFormed())
		.map(key => digestOfLineText(Buffer.from(key, 'utf8').toString('latin1')));
}
