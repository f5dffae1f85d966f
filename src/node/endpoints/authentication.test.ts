import {Buffer} from 'node:buffer';
import {createHash, createHmac, pbkdf2Sync} from 'node:crypto';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Authentication} from './authentication.js';
import {int32, join} from './testing/canned-endpoint.js';

const salt = 'c2FsdHNhbHQ=';
const encoder = new TextEncoder();

function request(code: number, text = ''): Uint8Array {
	return join([int32(code), encoder.encode(text)]);
}

function textOf(message: Uint8Array | undefined): string {
	return new TextDecoder('latin1').decode(message);
}

/** Computes the client proof that an endpoint expects for a password, and its own signature. */
function serverSide(password: string, authMessage: string): {clientProof: string; serverSignature: string} {
	const salted = pbkdf2Sync(password, Buffer.from(salt, 'base64'), 4096, 32, 'sha256');
	const clientKey = createHmac('sha256', salted).update('Client Key').digest();
	const storedKey = createHash('sha256').update(clientKey).digest();
	const signature = createHmac('sha256', storedKey).update(authMessage).digest();
	// eslint-disable-next-line no-bitwise -- the protocol combines both by XOR.
	const proof = clientKey.map((byte, index) => byte ^ signature[index]);
	const serverKey = createHmac('sha256', salted).update('Server Key').digest();
	return {
		clientProof: Buffer.from(proof).toString('base64'),
		serverSignature: createHmac('sha256', serverKey).update(authMessage).digest('base64'),
	};
}

/** Runs SCRAM up to the client proof. */
async function scram(password: string) {
	const authentication = new Authentication({user: 'app', password});
	const first = textOf(await authentication.answer(request(10, 'SCRAM-SHA-256\0\0')));
	const {nonce} = (/r=(?<nonce>.+)$/v.exec(first)!.groups!);
	const serverFirst = `r=${nonce}server,s=${salt},i=4096`;
	const final = textOf(await authentication.answer(request(11, serverFirst)));
	const withoutProof = `c=biws,r=${nonce}server`;
	return {authentication, final, ...serverSide('secret', `n=*,r=${nonce},${serverFirst},${withoutProof}`)};
}

describe('Authentication', () => {
	it('proves its password by SCRAM-SHA-256 and verifies the endpoint\'s signature', async () => {
		const {authentication, final, clientProof, serverSignature} = await scram('secret');
		expect(final.endsWith(`,p=${clientProof}`)).toEqual(true);
		expect(await authentication.answer(request(12, `v=${serverSignature}`))).toEqual(undefined);
		expect(await authentication.answer(request(0))).toEqual(undefined);
	});

	it('refuses an endpoint without a valid SCRAM signature', async () => {
		const {authentication, clientProof} = await scram('secret');
		await expect(authentication.answer(request(12, `v=${clientProof}`))).toBeRejectedWith('signature does not match');
		await expect(authentication.answer(request(0))).toBeRejectedWith('authentication ended without the endpoint\'s SCRAM signature');
	});

	const outOfOrder: Array<[string, Uint8Array, string]> = [
		['a SCRAM challenge before its start', request(11, 'r=a,s=b,i=1'), 'authentication messages are out of order'],
		['an unknown method', request(7), 'authentication method 7 is not supported'],
		['an unknown mechanism', request(10, 'OTHER\0\0'), 'Only mechanism'],
		['a request without a code', Uint8Array.of(0), 'authentication method -1 is not supported'],
	];
	for (const [name, body, message] of outOfOrder) {
		it(`refuses ${name}`, async () => {
			const authentication = new Authentication({user: 'app', password: 'secret'});
			await expect(authentication.answer(body)).toBeRejectedWith(message);
		});
	}
});
