/**
 * Reproducible randomness for tests, load and soak runs.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Random} from '../services/services.js';

/** The same seed gives the same sequence. */
export class SeededRandom implements Random {
	private readonly _generator;

	constructor(seed: number) {
		this._generator = xoroshiro128plus(seed);
	}

	next(): number {
		return uniformFloat64(this._generator);
	}
}
