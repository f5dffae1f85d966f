import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, constantFrom, oneof, property, string,
} from 'fast-check';
import {joinKey} from './join-key.js';

/** Texts that look like parts of keys, and any others. */
const anyText = oneof(
	array(constantFrom('a', 'b', ' ', ':', '0', '1', '2', '1:a', '/', '\n', '\uD800'), {maxLength: 4}).map(parts => parts.join('')),
	string({unit: 'binary', maxLength: 12}),
);

/** Reads the texts of a key. */
function textsOf(key: string): string[] {
	const texts = [];
	for (let rest = key; rest !== '';) {
		const start = rest.indexOf(':') + 1;
		const end = start + Number(rest.slice(0, start - 1));
		texts.push(rest.slice(start, end));
		rest = rest.slice(end);
	}

	return texts;
}

describe('joinKey', () => {
	// Guards against entries that are found under the key of other texts.
	it('gives every list of texts a key of its own, from which the list can be read', () => {
		assert(property(array(anyText, {maxLength: 5}), texts => {
			expect(textsOf(joinKey(...texts))).toEqual(texts);
		}), {seed: 58, numRuns: 500, examples: [[['a b', 'c']], [['a', 'b c']], [['', '']], [['']], [['1:a']]]});
	});
});
