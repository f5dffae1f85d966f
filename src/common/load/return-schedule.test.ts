import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, double, integer, property, record,
} from 'fast-check';
import {loadDefaults} from './constants.js';
import type {RefusedCaller} from './return-schedule.js';
import {ReturnSchedule} from './return-schedule.js';

function caller(change: Partial<RefusedCaller> = {}): RefusedCaller {
	return {
		nowMs: 0, priority: 1, roomInMs: 50, spacingMs: 4, timeLeftMs: 800, random: 0, ...change,
	};
}

describe('ReturnSchedule', () => {
	it('gives each refused caller of a class the next place', () => {
		const schedule = new ReturnSchedule(loadDefaults);
		const times = [caller(), caller(), caller({nowMs: 20}), caller({priority: 2}), caller({nowMs: 500})];
		expect(times.map(refused => schedule.returnAfterMs(refused))).toEqual([50, 54, 50, 50, 50]);
	});

	it('assigns no place beyond the deadline', () => {
		const schedule = new ReturnSchedule(loadDefaults);
		expect(schedule.returnAfterMs(caller({roomInMs: 900}))).toEqual(800);
		expect(schedule.returnAfterMs(caller())).toEqual(50);
	});

	it('never gives more places in any time than the endpoint serves in it, nor a time past the deadline, and spreads by a tenth at most', () => {
		const refusals = array(record({
			afterMs: integer({min: 0, max: 30}), roomInMs: integer({min: 0, max: 400}), timeLeftMs: integer({min: 1, max: 800}), random: double({min: 0, max: 0.999, noNaN: true}),
		}), {maxLength: 80});
		assert(property(refusals, integer({min: 1, max: 40}), (given, spacingMs) => {
			const schedule = new ReturnSchedule(loadDefaults);
			let nowMs = 0;
			let lastMs = Number.NEGATIVE_INFINITY;
			for (const {afterMs, roomInMs, timeLeftMs, random} of given) {
				nowMs += afterMs;
				const returnMs = schedule.returnAfterMs(caller({
					nowMs, roomInMs, timeLeftMs, random, spacingMs,
				}));
				expect(returnMs <= timeLeftMs).toEqual(true);
				const placeMs = Math.max(nowMs + roomInMs, lastMs + spacingMs);
				const isAssigned = (placeMs - nowMs) * (1 + (0.1 * random)) <= timeLeftMs;
				lastMs = isAssigned ? placeMs : lastMs;
				const leastMs = isAssigned ? placeMs - nowMs : timeLeftMs * 0.9;
				const longestMs = isAssigned ? leastMs * 1.1 : timeLeftMs;
				expect(returnMs >= (leastMs - 1e-9) && returnMs <= (longestMs + 1e-9)).toEqual(true);
			}
		}), {seed: 14, numRuns: 500});
	});
});
