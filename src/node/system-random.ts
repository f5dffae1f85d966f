/**
 * The host's randomness.
 */
import type {Random} from '../common/services/services.js';

/** Randomness of the running process; not for secrets. */
export class SystemRandom implements Random {
	next(): number {
		return Math.random();
	}
}
