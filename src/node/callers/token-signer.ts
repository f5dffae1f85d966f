/** Signs session tokens with the key that all nodes share. */
import {createHmac} from 'node:crypto';
import type {TokenSigner} from '../../common/sessions/types.js';

/** HMAC-SHA-256 with a shared key from the settings. */
export class HmacTokenSigner implements TokenSigner {
	private readonly _key: string;

	constructor(key: string) {
		this._key = key;
	}

	sign(bytes: Uint8Array): Uint8Array {
		return createHmac('sha256', this._key).update(bytes).digest();
	}
}
