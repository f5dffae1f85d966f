import {describe, it} from 'node:test';
import {expect} from 'earl';
import {assert, jsonValue, property} from 'fast-check';
import {nestedArrays, nestedObjects} from '../testing/odd-json.js';
import {toJsonText} from './json-text.js';

describe('toJsonText', () => {
	it('writes a value of usual depth unchanged', () => {
		assert(property(jsonValue(), value => {
			expect(toJsonText(value)).toEqual(JSON.stringify(value));
		}), {seed: 1, numRuns: 300});
	});

	it('writes a number that is too large as the largest one', () => {
		expect(toJsonText(JSON.parse('[1e400,-1e400,1]'))).toEqual(JSON.stringify([Number.MAX_VALUE, -Number.MAX_VALUE, 1]));
	});

	for (const [name, text] of [['arrays', nestedArrays()], ['objects', nestedObjects()]] as const) {
		it(`cuts off ${name} that are nested too deep, and keeps the values beside them`, () => {
			const written = toJsonText(JSON.parse(`{"deep":${text},"near":[1,"x"]}`));
			expect(written.length < 500).toEqual(true);
			expect(written.endsWith('"near":[1,"x"]}')).toEqual(true);
		});
	}
});
