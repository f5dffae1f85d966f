import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	assert, array, integer, property,
} from 'fast-check';
import {UseRates} from './use-rates.js';

const halfLifeMs = 2000;

describe('UseRates', () => {
	it('halve a count in each half-life', () => {
		const rates = new UseRates<string>(halfLifeMs);
		rates.note('a', 0);
		rates.note('a', 0);
		expect(rates.of('a', halfLifeMs)).toEqual(1);
		expect(rates.of('a', 2 * halfLifeMs)).toEqual(0.5);
		expect(rates.of('b', 0)).toEqual(0);
	});

	// Guards against a map that grows by every organisation that ever sent a statement.
	it('forget keys that are not used any more', () => {
		const rates = new UseRates<string>(halfLifeMs);
		rates.note('old', 0);
		rates.note('new', 10 * halfLifeMs);
		rates.prune(0.05, 10 * halfLifeMs);
		expect(rates.size).toEqual(1);
	});

	it('rank keys with the same times of use by their numbers of uses', () => {
		assert(property(array(integer({min: 0, max: 100}), {minLength: 1}), gaps => {
			const rates = new UseRates<string>(halfLifeMs);
			let nowMs = 0;
			for (const gapMs of gaps) {
				nowMs += gapMs;
				rates.note('once', nowMs);
				rates.note('twice', nowMs);
				rates.note('twice', nowMs);
			}

			return rates.of('twice', nowMs) > rates.of('once', nowMs);
		}), {seed: 5});
	});
});
