/**
 * Checks passwords against what the settings hold: plain text, or a salted hash.
 */
import {Buffer} from 'node:buffer';
import {
	createHash, randomBytes, scrypt, timingSafeEqual,
} from 'node:crypto';
import {promisify} from 'node:util';

const derive: (password: string, salt: Uint8Array, length: number) => Promise<Uint8Array> = promisify(scrypt);

const hashLength = 32;
const saltLength = 16;
const hashPattern = /^scrypt\$(?<salt>[A-Za-z0-9+\/]+=*)\$(?<hash>[A-Za-z0-9+\/]+=*)$/v;

/** Makes the salted hash that settings may hold in place of a plain password. */
export async function hashPassword(password: string): Promise<string> {
	const salt = randomBytes(saltLength);
	const hash = await derive(password, salt, hashLength);
	return `scrypt$${salt.toString('base64')}$${Buffer.from(hash).toString('base64')}`;
}

/** Whether the stored text is a hash. */
export function isHashed(stored: string): boolean {
	return hashPattern.test(stored);
}

/** Whether a password matches the stored text; takes the same time if it does not. */
export async function checkPassword(password: string, stored: string): Promise<boolean> {
	const {salt, hash} = hashPattern.exec(stored)?.groups ?? {};
	if (salt === undefined || hash === undefined) {
		// Digests have a fixed length, so that the comparison reveals nothing about the length of the password.
		return timingSafeEqual(digest(password), digest(stored));
	}

	const expected = Buffer.from(hash, 'base64');
	const actual = await derive(password, Buffer.from(salt, 'base64'), expected.length);
	return timingSafeEqual(actual, expected);
}

function digest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
