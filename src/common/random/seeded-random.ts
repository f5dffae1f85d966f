/**
 * Reproducible randomness for tests, load and soak runs.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Random} from '../services/services.js';

/** Number of values that are discarded after seeding. */
const discardedValues = 20;

/** Pseudo-random generator that gives the same sequence for the same seed. */
export class SeededRandom implements Random {
	private readonly _generator;

	constructor(seed: number) {
		this._generator = xoroshiro128plus(seed);
		// The first values of small seeds are nearly the same for all of them.
		for (let index = 0; index < discardedValues; index++) {
			this.next();
		}
	}

	next(): number {
		return uniformFloat64(this._generator);
	}
}
