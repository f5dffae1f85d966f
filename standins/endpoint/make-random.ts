/**
 * Randomness of one instance, from its seed.
 */
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import type {Random} from '../../src/common/services/services.js';

/** The first values of the generator are alike for all small seeds; these are passed over. */
const discardedDraws = 20;

/** The same seed gives the same sequence. */
export function makeRandom(seed: number): Random {
	const random = new SeededRandom(seed);
	for (let index = 0; index < discardedDraws; index++) {
		random.next();
	}

	return random;
}
