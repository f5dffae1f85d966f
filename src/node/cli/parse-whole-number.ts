/**
 * Numbers on the command line.
 */
import {InvalidArgumentError} from 'commander';

/** Parses a whole number; throws an error from which commander reports the argument. */
export function parseWholeNumber(text: string): number {
	if (!/^\d{1,15}$/v.test(text)) {
		throw new InvalidArgumentError('It must be a whole number.');
	}

	return Number(text);
}
