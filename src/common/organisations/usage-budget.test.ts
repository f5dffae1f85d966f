import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, double, integer, property, record,
} from 'fast-check';
import {UsageBudget} from './usage-budget.js';
import {zoneBudget} from './usage-rule.js';

const size = {perS: 10, capacity: 5};

describe('UsageBudget', () => {
	it('gives out its initial operations, then those added over time', () => {
		const budget = new UsageBudget(size, 2, 0);
		expect([budget.take(0), budget.take(0)]).toEqual([0, 0]);
		expect(budget.take(0)).toEqual(100);
		expect(budget.take(100)).toEqual(0);
	});

	it('never exceeds its capacity, not even through loans', () => {
		const budget = new UsageBudget(size, 0, 0);
		budget.add(50);
		expect(budget.takeShare(1, 10_000)).toEqual(5);
	});

	it('lends whole operations, and at least one if it has one', () => {
		const budget = new UsageBudget(size, 1.5, 0);
		expect(budget.takeShare(0.5, 0)).toEqual(1);
		expect(budget.takeShare(0.5, 0)).toEqual(0);
	});

	it('drops the operations beyond the new capacity when the limit is lowered', () => {
		const budget = new UsageBudget(size, 5, 0);
		budget.resize({perS: 1, capacity: 1}, 0);
		expect([budget.take(0), budget.take(0)]).toEqual([0, 1000]);
	});

	it('reports an infinite wait if no operations are ever added', () => {
		expect(new UsageBudget({perS: 0, capacity: 1}, 0, 0).take(0)).toEqual(Number.POSITIVE_INFINITY);
	});

	it('gives out at most its capacity and what was added since, at any time', () => {
		const steps = array(record({afterMs: integer({min: 0, max: 400}), asked: integer({min: 0, max: 9})}), {maxLength: 60});
		assert(property(steps, double({min: 0.1, max: 50, noNaN: true}), double({min: 1, max: 30, noNaN: true}), (asks, perS, capacity) => {
			const budget = new UsageBudget({perS, capacity}, capacity, 0);
			let nowMs = 0;
			let given = 0;
			for (const {afterMs, asked} of asks) {
				nowMs += afterMs;
				for (let count = 0; count < asked; count++) {
					given += budget.take(nowMs) === 0 ? 1 : 0;
				}

				expect(given <= capacity + (perS * nowMs / 1000) + 1e-6).toEqual(true);
			}
		}), {seed: 3, numRuns: 300});
	});
});

describe('the budgets of zones', () => {
	it('add up to no more than the rule allows in any window', () => {
		const rule = {windowS: 5, overshootShare: 0.1, slack: 20};
		assert(property(double({min: 0, max: 5000, noNaN: true}), double({min: 0, max: 5000, noNaN: true}), integer({min: 1, max: 12}), (perS, burst, zones) => {
			const {perS: zonePerS, capacity} = zoneBudget({perS, burst}, rule, zones, 0.7);
			const most = zones * ((zonePerS * rule.windowS) + capacity);
			expect(most <= (((perS * rule.windowS) + burst) * (1 + rule.overshootShare)) + rule.slack + 1e-6).toEqual(true);
		}), {seed: 4, numRuns: 500});
	});
});
