import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, double, integer, property,
} from 'fast-check';
import {SeededRandom} from '../random/seeded-random.js';
import {choosePlacement} from './placement-choice.js';

function shares(costs: readonly number[], preferred?: {readonly value: number; readonly leavingCostMs: number}): number[] {
	const random = new SeededRandom(5);
	const counts = costs.map(() => 0);
	for (let round = 0; round < 4000; round++) {
		counts[choosePlacement(costs.map((costMs, value) => ({value, costMs})), () => random.next(), preferred)!] += 1;
	}

	return counts.map(count => Math.round(count / 400) / 10);
}

describe('choosePlacement', () => {
	const cases = [
		{name: 'the only candidate', costs: [50], expected: [1]},
		{name: 'the clearly faster one', costs: [50, 20, 90], expected: [0, 1, 0]},
		// If all nodes took the fastest by a millisecond, it would be the slowest a moment later.
		{name: 'each of two that are alike', costs: [20, 21], expected: [0.5, 0.5]},
		{name: 'each of three that are alike', costs: [20, 20, 20], expected: [0.3, 0.3, 0.3]},
		{name: 'none that is slower than those alike', costs: [20, 22, 40], expected: [0.5, 0.5, 0]},
	];
	for (const {name, costs, expected} of cases) {
		it(`takes ${name}`, () => {
			expect(shares(costs)).toEqual(expected);
		});
	}

	// A connection belongs to an organisation: a move costs a new one, and another when it moves back.
	it('leaves the preferred candidate only for one that is faster by more than the cost of leaving', () => {
		expect(shares([40, 20], {value: 0, leavingCostMs: 20})).toEqual([1, 0]);
		expect(shares([41, 20], {value: 0, leavingCostMs: 20})).toEqual([0, 1]);
		expect(shares([20, 41], {value: 5, leavingCostMs: 20})).toEqual([1, 0]);
	});

	it('never takes a candidate that is slower than the fastest by more than a quarter and 2 ms', () => {
		const costs = array(double({min: 0.1, max: 1000, noNaN: true}), {minLength: 1, maxLength: 6});
		assert(property(costs, integer({min: 1, max: 1000}), (times, seed) => {
			const random = new SeededRandom(seed);
			const chosen = choosePlacement(times.map(costMs => ({value: costMs, costMs})), () => random.next())!;
			const best = Math.min(...times);
			expect(chosen <= best + Math.max(2, best / 4)).toEqual(true);
		}), {seed: 14, numRuns: 500});
	});
});
