import {describe, it} from 'node:test';
import {expect} from 'earl';
import {checkInstanceChanges} from './instance-changes.js';
import {applyOperations, emptyModel} from './model.js';
import type {Operation} from './schema.js';

function endpoint(name: string, port = 5432): Operation {
	return {
		op: 'put',
		kind: 'endpoint',
		value: {
			name, group: 'stock', availabilityZone: 'a', host: '10.0.0.1', port, labels: {}, slots: 3, connections: 20,
		},
	};
}

const group: Operation = {op: 'put', kind: 'group', value: {name: 'stock', service: 'shop', labels: {}}};
const first = applyOperations(emptyModel, [group, endpoint('one'), endpoint('two'), endpoint('three')], 1).unsafeCoerce().model;

describe('checkInstanceChanges', () => {
	const remove: Operation = {op: 'remove', kind: 'endpoint', name: 'three'};
	const cases: ReadonlyArray<readonly [string, readonly Operation[], number]> = [
		['adding one instance', [endpoint('four')], 0],
		['removing one instance', [remove], 0],
		['replacing one instance at once', [remove, endpoint('four')], 1],
		['adding two instances', [endpoint('four'), endpoint('five')], 1],
		['moving an instance to another address at once', [endpoint('three', 5433)], 1],
		['labels only', [{...group, value: {name: 'stock', service: 'shop', labels: {tier: 'a'}}}], 0],
	];
	for (const [name, operations, problems] of cases) {
		it(`${problems === 0 ? 'accepts' : 'refuses'} ${name}`, () => {
			const after = applyOperations(first, operations, 2).unsafeCoerce().model;
			expect(checkInstanceChanges(first, after).length).toEqual(problems);
		});
	}

	it('accepts the first instances of a group, and the removal of all', () => {
		expect(checkInstanceChanges(emptyModel, first)).toEqual([]);
		expect(checkInstanceChanges(first, emptyModel)).toEqual([]);
	});
});
