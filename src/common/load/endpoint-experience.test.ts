import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, double, property, record,
} from 'fast-check';
import {EndpointExperience} from './endpoint-experience.js';

describe('EndpointExperience', () => {
	it('is the own estimate before the first report', () => {
		const experience = new EndpointExperience();
		expect([experience.lastingMs(17, 0), experience.failedShare(0), experience.longestInFlightMs(0)]).toEqual([17, 0, 0]);
	});

	it('halves the weight of a report after 1,500 ms', () => {
		const experience = new EndpointExperience();
		experience.note({serviceMs: 100, failedShare: 0.5}, 0);
		expect([0, 1500, 3000].map(nowMs => experience.lastingMs(20, nowMs))).toEqual([100, 60, 40]);
		expect([0, 1500, 3000].map(nowMs => experience.failedShare(nowMs))).toEqual([0.5, 0.25, 0.125]);
	});

	// The own average includes the way to the home and the wait there, which the service time leaves out.
	it('does not lower the own estimate', () => {
		const experience = new EndpointExperience();
		experience.note({serviceMs: 5, failedShare: 0}, 0);
		expect(experience.lastingMs(20, 0)).toEqual(20);
	});

	it('counts from the oldest statement without an answer', () => {
		const experience = new EndpointExperience();
		const statements = [10, 20, 30].map(atMs => ({atMs}));
		for (const sent of statements) {
			experience.noteSent(sent);
		}

		expect(experience.longestInFlightMs(100)).toEqual(90);
		experience.noteEnded(statements[1]);
		expect(experience.longestInFlightMs(100)).toEqual(90);
		experience.noteEnded(statements[0]);
		expect(experience.longestInFlightMs(100)).toEqual(70);
	});

	it('lies between the own estimate and the reported time', () => {
		const timeMs = double({min: 1, max: 900, noNaN: true});
		const step = record({
			afterMs: double({min: 0, max: 5000, noNaN: true}), serviceMs: timeMs, ownMs: timeMs, failedShare: double({min: 0, max: 1, noNaN: true}),
		});
		assert(property(array(step, {maxLength: 40}), steps => {
			const experience = new EndpointExperience();
			let nowMs = 0;
			let reportedMs = 0;
			for (const {afterMs, serviceMs, ownMs, failedShare} of steps) {
				nowMs += afterMs;
				const lastingMs = experience.lastingMs(ownMs, nowMs);
				expect(lastingMs >= ownMs - 1e-6 && lastingMs <= Math.max(ownMs, reportedMs) + 1e-6).toEqual(true);
				expect(experience.failedShare(nowMs) >= 0 && experience.failedShare(nowMs) <= 0.9).toEqual(true);
				experience.note({serviceMs, failedShare}, nowMs);
				reportedMs = serviceMs;
			}
		}), {seed: 16, numRuns: 200});
	});
});
