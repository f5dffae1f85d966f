/**
 * Numbers on the command line.
 */
import {InvalidArgumentError} from 'commander';

/** Reads a whole number; commander tells which argument was wrong. */
export function parseWholeNumber(text: string): number {
	if (!/^\d{1,15}$/v.test(text)) {
		throw new InvalidArgumentError('It must be a whole number.');
	}

	return Number(text);
}
