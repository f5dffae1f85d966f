/**
 * Reproducible randomness for tests, load and soak runs.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Random} from '../services/services.js';

/** Values that are left out at the start. */
const discardedValues = 20;

/** The same seed gives the same sequence. */
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
