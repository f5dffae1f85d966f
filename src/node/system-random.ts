/**
 * Random numbers of the JavaScript runtime.
 */
import type {Random} from '../common/services/services.js';

/** Random numbers from `Math.random`; not for secrets. */
export class SystemRandom implements Random {
	next(): number {
		return Math.random();
	}
}
