import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, constantFrom, double, integer, property, record,
} from 'fast-check';
import {DatedLoadEstimate} from './dated-load-estimate.js';
import {EndpointExperience} from './endpoint-experience.js';

describe('DatedLoadEstimate', () => {
	it('is the own estimate without a report', () => {
		expect(new DatedLoadEstimate(4, new EndpointExperience()).expectedMs(1, 17, 0)).toEqual(17);
	});

	it('is the report when it has just arrived, by class', () => {
		const estimate = new DatedLoadEstimate(4, new EndpointExperience());
		estimate.note({waitsMs: [0, 20], serviceMs: 10, failedShare: 0}, 0);
		expect([0, 1, 2].map(priority => estimate.expectedMs(priority, 1, 0))).toEqual([10, 30, 30]);
	});

	// A node that did not count what it sent since the report would send a whole burst to one endpoint.
	it('adds the statements sent since the report, and no longer when they end or a report includes them', () => {
		const estimate = new DatedLoadEstimate(2, new EndpointExperience());
		estimate.note({waitsMs: [0], serviceMs: 10, failedShare: 0}, 0);
		const first = estimate.noteSent(0);
		estimate.noteSent(0);
		expect(estimate.expectedMs(0, 0, 0)).toEqual(20);
		estimate.noteEnded(first);
		expect(estimate.expectedMs(0, 0, 0)).toEqual(15);
		estimate.note({waitsMs: [3], serviceMs: 10, failedShare: 0}, 0);
		estimate.noteEnded(first);
		expect(estimate.expectedMs(0, 0, 0)).toEqual(13);
	});

	it('gives a report half of its weight after 100 ms, and none after a second', () => {
		const estimate = new DatedLoadEstimate(4, new EndpointExperience());
		estimate.note({waitsMs: [90], serviceMs: 10, failedShare: 0}, 0);
		expect(estimate.expectedMs(0, 20, 100)).toEqual(60);
		expect(Math.round(estimate.expectedMs(0, 20, 1000))).toEqual(20);
	});

	// Answers of a hanging endpoint come too late to show that it hangs.
	it('is the time for which a statement has had no answer once that is three times as long as expected', () => {
		const estimate = new DatedLoadEstimate(4, new EndpointExperience());
		const sent = estimate.noteSent(0);
		estimate.noteSent(40);
		expect([60, 90].map(nowMs => estimate.expectedMs(0, 20, nowMs))).toEqual([20, 90]);
		estimate.noteEnded(sent);
		expect([90, 110].map(nowMs => estimate.expectedMs(0, 20, nowMs))).toEqual([20, 70]);
	});

	// A node that learned by home would send a slow endpoint one more statement over its other home.
	it('knows over one home how slow, failing or silent the endpoint is over the other', () => {
		const endpoint = new EndpointExperience();
		const [one, other] = [new DatedLoadEstimate(4, endpoint), new DatedLoadEstimate(4, endpoint)];
		one.note({waitsMs: [500], serviceMs: 100, failedShare: 0}, 0);
		expect(other.expectedMs(0, 10, 0)).toEqual(100);
		one.note({waitsMs: [0], serviceMs: 10, failedShare: 0.5}, 0);
		expect(other.expectedMs(0, 10, 0)).toEqual(20 + 50);
		one.noteSent(0);
		expect(other.expectedMs(0, 10, 1000)).toEqual(1000);
	});

	it('remembers the service time for longer than the load', () => {
		const estimate = new DatedLoadEstimate(4, new EndpointExperience());
		estimate.note({waitsMs: [500], serviceMs: 100, failedShare: 0}, 0);
		expect([1500, 20_000].map(ageMs => Math.round(estimate.expectedMs(0, 20, ageMs)))).toEqual([60, 20]);
	});

	// A replica that fails at once looks faster than the others by its times alone.
	it('counts failed statements as attempts to be repeated', () => {
		const estimate = new DatedLoadEstimate(4, new EndpointExperience());
		estimate.note({waitsMs: [0], serviceMs: 10, failedShare: 0.5}, 0);
		expect(estimate.expectedMs(0, 10, 0)).toEqual(20 + 50);
		estimate.note({waitsMs: [0], serviceMs: 10, failedShare: 1}, 0);
		expect(Math.round(estimate.expectedMs(0, 10, 0))).toEqual(100 + 90);
	});

	it('is never below what both sources state, and counts no statement twice', () => {
		const step = record({
			afterMs: integer({min: 0, max: 200}), kind: constantFrom('report', 'send', 'end'), waitMs: double({min: 0, max: 500, noNaN: true}), serviceMs: double({min: 1, max: 100, noNaN: true}),
		});
		assert(property(array(step, {maxLength: 60}), steps => {
			const estimate = new DatedLoadEstimate(4, new EndpointExperience());
			const sent: Array<ReturnType<typeof estimate.noteSent>> = [];
			let nowMs = 0;
			let reported = {waitMs: 0, serviceMs: 0};
			let since = 0;
			for (const {afterMs, kind, waitMs, serviceMs} of steps) {
				nowMs += afterMs;
				if (kind === 'report') {
					reported = {waitMs, serviceMs};
					since = 0;
					estimate.note({waitsMs: [waitMs], serviceMs, failedShare: 0}, nowMs);
				} else if (kind === 'send') {
					since += 1;
					sent.push(estimate.noteSent(nowMs));
				} else if (sent.length > 0) {
					estimate.noteEnded(sent.shift()!);
				}

				const ownMs = 40;
				const expectedMs = estimate.expectedMs(0, ownMs, nowMs);
				const reportedMs = reported.waitMs + reported.serviceMs;
				expect(expectedMs >= Math.min(ownMs, reportedMs) - 1e-6).toEqual(true);
				expect(expectedMs <= Math.max(nowMs - (sent.at(0)?.atMs ?? nowMs), ownMs, reportedMs + (since * reported.serviceMs / 4)) + 1e-6).toEqual(true);
			}
		}), {seed: 13, numRuns: 300});
	});
});
