import {describe, it} from 'node:test';
import {expect} from 'earl';
import {exceeded, formatResult} from './format.js';
import type {BenchResult} from './types.js';

const result: BenchResult = {
	tables: [{title: 'Ways', columns: ['way', 'ms'], rows: [['direct', 0.123_456], ['one hop', 1234.5]]}],
	bounded: [
		{name: 'within', value: 1, maximum: 1},
		{name: 'beyond', value: 1.01, maximum: 1},
		{name: 'not measured', value: Number.NaN, maximum: 1},
	],
};

describe('results of benchmarks', () => {
	it('fail on figures that exceed their bound or were not measured', () => {
		expect(exceeded(result.bounded).map(({name}) => name)).toEqual(['beyond', 'not measured']);
	});

	it('are printed in columns of equal width', () => {
		const [title, , header, ruler, first, second] = formatResult(result).split('\n');
		expect(title).toEqual('Ways');
		expect([header, ruler, first, second]).toEqual([
			'way         ms',
			'-------  -----',
			'direct   0.123',
			'one hop   1235',
		]);
	});
});
