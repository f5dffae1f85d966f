/**
 * Incarnations: names for the successive processes of one host.
 */
import {randomBytes} from 'node:crypto';

/** Number of digits of the padded time, enough until the year 5138, so that later names sort after earlier ones. */
const timeDigits = 14;

/**
 * Returns a name for this process. It increases from start to start as long as the host's clock
 * does not go back, and its random part keeps it from repeating.
 */
export function newIncarnation(): string {
	return `${String(Date.now()).padStart(timeDigits, '0')}-${randomBytes(4).toString('hex')}`;
}
