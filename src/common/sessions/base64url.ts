/** Encodes and decodes base64url without padding, and without buffer types that only some runtimes have. */

const alphabet = 'ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_';
const bitsPerChar = 6;
const bitsPerByte = 8;
const charScale = 2 ** bitsPerChar;
const byteScale = 2 ** bitsPerByte;

/** Encodes bytes as base64url text. */
export function toBase64Url(bytes: Uint8Array): string {
	let text = '';
	let rest = 0;
	let restBits = 0;
	for (const byte of bytes) {
		rest = (rest * byteScale) + byte;
		restBits += bitsPerByte;
		while (restBits >= bitsPerChar) {
			restBits -= bitsPerChar;
			const scale = 2 ** restBits;
			text += alphabet.charAt(Math.floor(rest / scale));
			rest %= scale;
		}
	}

	return restBits === 0 ? text : text + alphabet.charAt(rest * (2 ** (bitsPerChar - restBits)));
}

/** Decodes text; undefined unless it is exactly what `toBase64Url` writes for some bytes. */
export function fromBase64Url(text: string): Uint8Array | undefined {
	const bytes = new Uint8Array(Math.floor(text.length * bitsPerChar / bitsPerByte));
	let rest = 0;
	let restBits = 0;
	let count = 0;
	for (const char of text) {
		const value = alphabet.indexOf(char);
		if (value === -1) {
			return undefined;
		}

		rest = (rest * charScale) + value;
		restBits += bitsPerChar;
		if (restBits >= bitsPerByte) {
			restBits -= bitsPerByte;
			const scale = 2 ** restBits;
			bytes[count++] = Math.floor(rest / scale);
			rest %= scale;
		}
	}

	// A lone last character and spare bits that are not zero are refused, since they would let one token have several texts.
	return rest === 0 && restBits < bitsPerChar ? bytes : undefined;
}
