/**
 * Names of the runs of one host.
 */
import {randomBytes} from 'node:crypto';

/** Digits of the time; enough until the year 5138, so that later names sort after earlier ones. */
const timeDigits = 14;

/**
 * A name for this run of the process. It grows from start to start while the host's clock
 * does not go back, and never repeats.
 */
export function newIncarnation(): string {
	return `${String(Date.now()).padStart(timeDigits, '0')}-${randomBytes(4).toString('hex')}`;
}
