/**
 * Texts of callers, endpoints and platforms in lines that people read.
 */

/** Escapes control characters and line separators, which would end the line or control the terminal. */
export function escapeControls(text: string): string {
	return text.replaceAll(/[\p{Cc}\p{Zl}\p{Zp}\p{Cs}]/gv, character => String.raw`\u` + character.codePointAt(0)!.toString(16).padStart(4, '0'));
}

/** The text itself if it is one plain word, otherwise a JSON string, so that no text looks like another field. */
export function quoteUnlessWord(text: string): string {
	return /^[!#-~]+$/v.test(text) ? text : escapeControls(JSON.stringify(text));
}
