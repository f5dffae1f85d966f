import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	assert, integer, property, record,
} from 'fast-check';
import {loadDefaults} from './constants.js';
import type {AdmissionDecision, Arrival} from './goal-admission.js';
import {GoalAdmission} from './goal-admission.js';

const admission = new GoalAdmission(loadDefaults);

function arrival(change: Partial<Arrival> = {}): Arrival {
	return {
		nowMs: 1000, goalAtMs: 1200, deadlineMs: 1800, expectedMs: 10, onTimeAheadMs: 0, lateAheadMs: 0, slots: 4, urgentShare: 0, leastShare: 1 / 16, ...change,
	};
}

describe('GoalAdmission', () => {
	const cases: ReadonlyArray<{name: string; change: Partial<Arrival>; outcome: AdmissionDecision['outcome']}> = [
		{name: 'nothing ahead', change: {}, outcome: 'onTime'},
		{name: 'work ahead that ends before the goal', change: {onTimeAheadMs: 720}, outcome: 'onTime'},
		{name: 'work ahead that ends after the goal', change: {onTimeAheadMs: 724}, outcome: 'late'},
		{name: 'late work ahead, which does not delay a statement that meets its goal', change: {lateAheadMs: 10_000}, outcome: 'onTime'},
		{name: 'more work ahead than ends before the deadline', change: {onTimeAheadMs: 3164}, outcome: 'refused'},
		{name: 'more late work ahead than the certain share serves before the deadline', change: {onTimeAheadMs: 1000, lateAheadMs: 200}, outcome: 'refused'},
		{name: 'more urgent classes that leave too little', change: {onTimeAheadMs: 400, urgentShare: 0.9}, outcome: 'refused'},
		{name: 'a retry after its goal that need not wait', change: {goalAtMs: 900}, outcome: 'late'},
	];
	for (const {name, change, outcome} of cases) {
		it(`decides for ${name}: ${outcome}`, () => {
			expect(admission.decide(arrival(change)).outcome).toEqual(outcome);
		});
	}

	it('admits nothing that it expects to end after its deadline, and refuses nothing that has not to wait', () => {
		const any = record({
			goalAtMs: integer({min: 900, max: 1800}),
			deadlineMs: integer({min: 1801, max: 2600}),
			expectedMs: integer({min: 0, max: 170}),
			onTimeAheadMs: integer({min: 0, max: 5000}),
			lateAheadMs: integer({min: 0, max: 5000}),
			slots: integer({min: 1, max: 8}),
			urgentShare: integer({min: 0, max: 10}).map(tenths => tenths / 10),
		});
		assert(property(any, change => {
			const given = arrival(change);
			const {outcome, waitMs} = admission.decide(given);
			expect(outcome === 'refused' && waitMs === 0).toEqual(false);
			expect(outcome !== 'refused' && waitMs > 0 && given.nowMs + waitMs + given.expectedMs > given.deadlineMs).toEqual(false);
		}), {seed: 12, numRuns: 1000});
	});

	it('admits any statement that it admits behind more work', () => {
		const aheadMs = integer({min: 0, max: 5000});
		const rank = {onTime: 0, late: 1, refused: 2};
		assert(property(aheadMs, aheadMs, aheadMs, aheadMs, (onTimeAheadMs, lateAheadMs, moreOnTimeMs, moreLateMs) => {
			const less = admission.decide(arrival({onTimeAheadMs, lateAheadMs}));
			const more = admission.decide(arrival({onTimeAheadMs: onTimeAheadMs + moreOnTimeMs, lateAheadMs: lateAheadMs + moreLateMs}));
			expect(rank[less.outcome] <= rank[more.outcome]).toEqual(true);
		}), {seed: 13, numRuns: 1000});
	});
});
