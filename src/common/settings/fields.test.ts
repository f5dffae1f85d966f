import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, constantFrom, property, string,
} from 'fast-check';
import {documentSchema} from '../configuration/schema.js';
import {nameField} from './fields.js';

/** What separates names in session ids, ids of homes, claims and state reports of the PostgreSQL daemon. */
const separators = /[\s\/#\0]/v;

describe('names of nodes, zones, groups and endpoints', () => {
	// Guards against ids such as "node/incarnation/number" whose first part holds a separator: a node that ends would release the sessions of another.
	it('hold no character that separates the parts of an id', () => {
		const anyName = array(constantFrom('a', 'B', '0', '.', '-', '_', '/', ' ', '\n', '\0', '#', '\u00A0', 'é'), {minLength: 1, maxLength: 6}).map(parts => parts.join(''));
		assert(property(anyName, string({unit: 'binary'}), (near, any) => {
			for (const name of [near, any]) {
				const isNode = nameField.safeParse(name).success;
				const isService = documentSchema.safeParse({services: [{name, labels: {}}]}).success;
				expect((isNode || isService) && separators.test(name)).toEqual(false);
			}
		}), {seed: 58, numRuns: 500});
		expect(nameField.safeParse('frontend-bkk-a.1').success && documentSchema.safeParse({services: [{name: 'stock.1', labels: {}}]}).success).toEqual(true);
	});
});
