/**
 * Schemas for the fields of entries that other programs write. One odd entry must not hide the others.
 */
import {z} from 'zod';
import {formatPath, parseWith, type Problem} from './problems.js';

/** Largest time in milliseconds; a timer can wait no longer. */
export const longestMs = (2 ** 31) - 1;

/** A number that is not negative. JSON allows numbers of any size, such as 1e400; above a maximum they count as the maximum. */
function upTo(maximum: number) {
	return z.custom<number>(value => typeof value === 'number' && value >= 0, `expected a number from 0 to ${maximum}`)
		.transform(value => Math.min(value, maximum));
}

/** A time in milliseconds. */
export const durationField = upTo(longestMs);

/** An amount or a rate. */
export const amountField = upTo(Number.MAX_SAFE_INTEGER);

/** A field that may be absent, and of which an odd value counts as absent. */
export function withFallback<Schema extends z.ZodType>(schema: Schema, fallback: z.output<Schema>) {
	return schema.catch(fallback);
}

/** A list of texts; other values in it are left out. */
export const textsField = z.array(z.unknown()).default([]).transform(values => values.filter(value => typeof value === 'string'));

/** Entries of a list that match a schema, and the first problem of each other one. */
export type ParsedEntries<Schema extends z.ZodType> = {
	readonly entries: ReadonlyArray<z.output<Schema>>;
	readonly problems: readonly Problem[];
};

/** Parses each entry of a list by itself; `name` is the list's in the paths of the problems. */
export function parseEach<Schema extends z.ZodType>(schema: Schema, values: readonly unknown[], name: string): ParsedEntries<Schema> {
	const entries: Array<z.output<Schema>> = [];
	const problems: Problem[] = [];
	for (const [index, value] of values.entries()) {
		parseWith(schema, value).ifRight(entry => {
			entries.push(entry);
		}).ifLeft(([{path, expected}]) => {
			problems.push({path: `${formatPath([name, index])}${path.slice(1)}`, expected});
		});
	}

	return {entries, problems};
}
