/** Checks the passwords that callers send. */
import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import {md5} from 'pg-gateway';
import type {CallerUser} from './types.js';

const storedPattern = /^md5[\da-f]{32}$/v;

function isEqualInConstantTime(a: string, b: string): boolean {
	const first = Buffer.from(a);
	const second = Buffer.from(b);
	return first.length === second.length && timingSafeEqual(first, second);
}

/** The hash of password and user name, as the database stores it after the prefix `md5`. */
async function storedHash(user: CallerUser): Promise<string> {
	const password = user.password ?? '';
	return storedPattern.test(password) ? password.slice(3) : md5(password + user.name);
}

/** Whether a password that was sent in clear text is the user's. */
export async function checkPassword(user: CallerUser | undefined, given: string): Promise<boolean> {
	if (user?.password === undefined) {
		return false;
	}

	return storedPattern.test(user.password)
		? isEqualInConstantTime(`md5${await md5(given + user.name)}`, user.password)
		: isEqualInConstantTime(given, user.password);
}

/** Whether the response to an MD5 challenge with this salt fits the user's password. */
export async function checkSaltedHash(user: CallerUser | undefined, given: string, salt: Uint8Array): Promise<boolean> {
	if (user?.password === undefined) {
		return false;
	}

	const hash = await storedHash(user);
	const salted = await md5(Buffer.concat([Buffer.from(hash), salt]));
	return isEqualInConstantTime(given, `md5${salted}`);
}
