import {describe, it} from 'node:test';
import {expect} from 'earl';
import {FreshnessSamples} from './freshness-samples.js';

describe('FreshnessSamples', () => {
	it('finds the newest proof that a position covers, across terms', () => {
		const samples = new FreshnessSamples(4);
		samples.add({startedAtMs: 10, position: {term: 1, offset: 5}});
		samples.add({startedAtMs: 20, position: {term: 1, offset: 5}});
		samples.add({startedAtMs: 30, position: {term: 1, offset: 9}});
		samples.add({startedAtMs: 40, position: {term: 2, offset: 7}});
		expect(samples.newestReachedStartMs({term: 1, offset: 4})).toEqual(undefined);
		expect(samples.newestReachedStartMs({term: 1, offset: 8})).toEqual(20);
		// The log of a replaced primary never covers a proof of the next term.
		expect(samples.newestReachedStartMs({term: 1, offset: 99})).toEqual(30);
		expect(samples.newestReachedStartMs({term: 2, offset: 7})).toEqual(40);
	});

	it('ignores proofs of lower positions, and drops the oldest', () => {
		const samples = new FreshnessSamples(2);
		for (let offset = 1; offset <= 6; offset++) {
			samples.add({startedAtMs: offset, position: {term: 1, offset}});
		}

		samples.add({startedAtMs: 99, position: {term: 1, offset: 3}});
		expect(samples.newestReachedStartMs({term: 1, offset: 1})).toEqual(undefined);
		expect(samples.newestReachedStartMs({term: 1, offset: 6})).toEqual(6);
	});
});
