/**
 * Seeded random numbers of one instance.
 */
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import type {Random} from '../../src/common/services/services.js';

/** The first values of the generator are similar for all small seeds, so they are discarded. */
const discardedDraws = 20;

/** Creates a random source; the same seed gives the same sequence. */
export function makeRandom(seed: number): Random {
	const random = new SeededRandom(seed);
	for (let index = 0; index < discardedDraws; index++) {
		random.next();
	}

	return random;
}
