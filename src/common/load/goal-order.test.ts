import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, integer, property, record,
} from 'fast-check';
import {loadDefaults} from './constants.js';
import {GoalOrder} from './goal-order.js';
import type {OrderedStatement} from './goal-order.js';

const order = new GoalOrder(loadDefaults);

function statement(change: Partial<OrderedStatement> = {}): OrderedStatement {
	return {
		goalAtMs: 200, deadlineMs: 800, expectedMs: 10, leadMs: 0, ...change,
	};
}

describe('GoalOrder', () => {
	const cases: ReadonlyArray<{name: string; first: OrderedStatement; second: OrderedStatement; nowMs: number}> = [
		{
			name: 'the earlier goal', first: statement({goalAtMs: 150}), second: statement(), nowMs: 0,
		},
		{
			name: 'one that meets its goal before one that is late', first: statement({goalAtMs: 500}), second: statement({goalAtMs: 90}), nowMs: 100,
		},
		{
			name: 'one whose work fits before its goal', first: statement({goalAtMs: 125}), second: statement({goalAtMs: 115}), nowMs: 100,
		},
		{
			name: 'the earlier deadline among late ones', first: statement({goalAtMs: 90, deadlineMs: 700}), second: statement({goalAtMs: 80}), nowMs: 100,
		},
		{
			name: 'a caller within its share', first: statement({goalAtMs: 300}), second: statement({leadMs: 41}), nowMs: 0,
		},
		{
			name: 'one that meets its goal, although its caller is ahead', first: statement({leadMs: 41}), second: statement({goalAtMs: -1}), nowMs: 0,
		},
	];
	for (const {name, first, second, nowMs} of cases) {
		it(`puts first ${name}`, () => {
			expect([order.isBefore(first, second, nowMs), order.isBefore(second, first, nowMs)]).toEqual([true, false]);
		});
	}

	it('is a strict weak order, so that the statement that is first does not depend on the order of comparison', () => {
		const any = record({
			goalAtMs: integer({min: 0, max: 40}), deadlineMs: integer({min: 20, max: 60}), expectedMs: integer({min: 0, max: 10}), leadMs: integer({min: 0, max: 60}),
		});
		assert(property(array(any, {minLength: 3, maxLength: 3}), integer({min: 0, max: 40}), ([a, b, c], nowMs) => {
			const isBefore = (x: OrderedStatement, y: OrderedStatement): boolean => order.isBefore(x, y, nowMs);
			expect(isBefore(a, b) && isBefore(b, a)).toEqual(false);
			expect(isBefore(a, b) && isBefore(b, c) && !isBefore(a, c)).toEqual(false);
		}), {seed: 11, numRuns: 1000});
	});
});
