import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, constantFrom, json, oneof, property,
} from 'fast-check';
import {z} from 'zod';
import {oddValues} from '../testing/odd-json.js';
import {
	amountField, durationField, longestMs, parseEach, textsField,
} from './tolerant-fields.js';

describe('the fields of entries that other programs write', () => {
	for (const [text, expected] of [
		['0', 0],
		['1500', 1500],
		['-0', 0],
		['1e400', longestMs],
		['1e21', longestMs],
		['2147483648', longestMs],
		['-1', undefined],
		['-1e400', undefined],
		['"5"', undefined],
		['null', undefined],
	] as const) {
		it(`read ${text} as a time of ${expected ?? 'no'} ms`, () => {
			expect(durationField.safeParse(JSON.parse(text)).data === expected).toEqual(true);
		});
	}

	it('read an amount that is too large as the largest one', () => {
		expect(amountField.parse(JSON.parse('1e400'))).toEqual(Number.MAX_SAFE_INTEGER);
	});

	it('keep the texts of a list with other values in it', () => {
		expect(textsField.parse(JSON.parse('["a",1,null,[[]],"b"]'))).toEqual(['a', 'b']);
	});

	// One odd entry must not make the others unreadable.
	it('keep every entry of a list that matches, whatever lies beside it, and name each that does not', () => {
		const schema = z.object({name: z.string()});
		assert(property(array(oneof(json(), constantFrom(...oddValues)), {maxLength: 5}), texts => {
			const values = texts.flatMap(text => [JSON.parse(text) as unknown, {name: 'kept'}]);
			const {entries, problems} = parseEach(schema, values, 'things');
			expect(entries.length + problems.length).toEqual(values.length);
			expect(entries.length >= texts.length).toEqual(true);
		}), {seed: 1, numRuns: 300});
		expect(parseEach(schema, [{name: 'a'}, {name: 1}], 'things').problems.map(({path}) => path)).toEqual(['$.things[1].name']);
	});
});
