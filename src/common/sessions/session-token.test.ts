import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {LogPosition} from '../positions/log-position.js';
import {maximumTokenChars, maximumTokenGroups} from './constants.js';
import {TokenSessionMarks} from './token-session-marks.js';
import {SessionTokenCodec} from './session-token.js';
import type {TokenSigner} from './types.js';

/** Signs with a keyed checksum, which is enough in a test without an attacker. */
function makeSigner(key: number): TokenSigner {
	return {
		sign(bytes) {
			const signature = new Uint8Array(16).fill(key);
			for (const [index, byte] of bytes.entries()) {
				const slot = index % 16;
				signature[slot] = ((signature[slot] ?? 0) * 31) + byte + index;
			}

			return signature;
		},
	};
}

const codec = new SessionTokenCodec(makeSigner(1));
const position = {term: 3, offset: 2 ** 40};

function tokenOf(positions: Readonly<Record<string, LogPosition>>, isTruncated = false): string {
	return codec.encode({positions: new Map(Object.entries(positions)), isTruncated});
}

describe('SessionTokenCodec', () => {
	it('decodes the tokens that it encodes', () => {
		const names = fc.string({unit: 'grapheme', maxLength: 20});
		const positions = fc.record({term: fc.maxSafeNat(), offset: fc.maxSafeNat()}, {noNullPrototype: true});
		const contents = fc.array(fc.tuple(names, positions), {maxLength: 8});
		fc.assert(fc.property(contents, fc.boolean(), (entries, isTruncated) => {
			const content = {positions: new Map(entries), isTruncated};
			expect(codec.decode(codec.encode(content)).extract()).toEqual(content);
		}), {seed: 1, numRuns: 200});
	});

	it('leaves the least recently advanced groups out of a full token', () => {
		const cases = [
			{nameChars: 4, kept: maximumTokenGroups},
			{nameChars: 200, kept: 14},
		];
		for (const {nameChars, kept} of cases) {
			const names = Array.from({length: 80}, (_, index) => `g${index}`.padEnd(nameChars, 'x'));
			const token = codec.encode({positions: new Map(names.map(name => [name, position])), isTruncated: false});
			const content = codec.decode(token).unsafeCoerce();
			expect(token.length <= maximumTokenChars).toEqual(true);
			expect(content.isTruncated).toEqual(true);
			expect([...content.positions.keys()]).toEqual(names.slice(-kept));
		}
	});

	it('refuses tokens that were modified, signed with another key, or are malformed', () => {
		const token = tokenOf({stock: position});
		const foreign = new SessionTokenCodec(makeSigner(2)).encode({positions: new Map([['stock', position]]), isTruncated: false});
		const last = token.at(-1) === 'A' ? 'B' : 'A';
		const refused = ['', 'A', foreign, token.slice(0, -1), `${token}A`, `${token.slice(0, -1)}${last}`, `${token}=`, ' ', token.repeat(100)];
		for (const text of refused) {
			const kind = codec.decode(text).swap().map(refusal => refusal.kind);
			expect(kind.extract()).toEqual('invalidToken');
		}
	});

	it('refuses arbitrary texts without throwing', () => {
		fc.assert(fc.property(fc.oneof(fc.string(), fc.base64String()), text => {
			expect(codec.decode(text).isLeft()).toEqual(true);
		}), {seed: 2, numRuns: 500});
	});

	it('accepts tokens that were signed with a previous key', () => {
		const renewed = new SessionTokenCodec(makeSigner(2), [makeSigner(1)]);
		expect(renewed.decode(tokenOf({stock: position})).isRight()).toEqual(true);
	});
});

describe('TokenSessionMarks', () => {
	it('only moves marks forward', () => {
		const session = new TokenSessionMarks(codec, 'stock', 'primary');
		session.advance('stock', {term: 2, offset: 5});
		session.advance('stock', {term: 1, offset: 9});
		session.mergeToken(tokenOf({stock: {term: 2, offset: 4}, sales: position}));
		expect(session.mark('stock')).toEqual({term: 2, offset: 5});
		expect(session.mark('sales')).toEqual(position);
		expect(session.mark('other')).toEqual({term: 0, offset: 0});
	});

	it('is complete only with a token that cannot have left out the group', () => {
		const cases = [
			{tokens: [], reads: 'primary', isComplete: false},
			{tokens: [], reads: 'sessionOnly', isComplete: true},
			{tokens: [tokenOf({})], reads: 'primary', isComplete: true},
			{tokens: [tokenOf({stock: position}, true)], reads: 'primary', isComplete: true},
			{tokens: [tokenOf({sales: position}, true)], reads: 'primary', isComplete: false},
			{tokens: [tokenOf({sales: position}, true), tokenOf({stock: position})], reads: 'primary', isComplete: false},
			{tokens: ['forged'], reads: 'primary', isComplete: false},
		] as const;
		for (const {tokens, reads, isComplete} of cases) {
			const session = new TokenSessionMarks(codec, 'stock', reads);
			for (const token of tokens) {
				session.mergeToken(token);
			}

			session.advance('stock', {term: 9, offset: 9});
			expect(session.isComplete).toEqual(isComplete);
		}
	});

	it('returns its token only after a change, and within the limits', () => {
		const session = new TokenSessionMarks(codec, 'g0', 'primary');
		expect(session.takeChangedToken()).toEqual(undefined);
		for (let index = 0; index < 200; index++) {
			session.mergeToken(tokenOf({[`g${index}`]: position}));
		}

		const content = codec.decode(session.takeChangedToken() ?? '').unsafeCoerce();
		expect(content.positions.size).toEqual(maximumTokenGroups);
		expect(content.positions.has('g0')).toEqual(true);
		expect(content.isTruncated).toEqual(true);
		session.advance('g0', position);
		expect(session.takeChangedToken()).toEqual(undefined);
	});
});
