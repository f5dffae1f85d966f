import {describe, it} from 'node:test';
import {expect} from 'earl';
import {PositionSamples} from '../primacy/position-samples.js';
import type {EndpointPool} from '../pools/endpoint-pool.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {HomeLoadReports} from './home-load-reports.js';

const endpoint = {
	id: 'i-2', availabilityZone: 'a', service: 'svc', host: 'i-2', port: 1, slots: 4, isDraining: false, claimsPrimary: false, incarnation: 0,
};

const poolLoad = {
	waitsMs: [1, 2], serviceMs: 8, failedShare: 0, measured: 9,
};

function position(offset: number): {readonly term: number; readonly offset: number} {
	return {term: 1, offset};
}

/** Reports of a home to whose knowledge the primary reaches position n at time 10 n. */
function reportsAt(nowMs: number, isEnabled = true): {reports: HomeLoadReports; clock: VirtualClock; pool: EndpointPool} {
	const clock = new VirtualClock(nowMs);
	const samples = new PositionSamples(1, 6000);
	for (let offset = 0; offset <= 100; offset++) {
		samples.add(offset * 10, position(offset));
	}

	const reports = new HomeLoadReports({
		clock,
		isEnabled: () => isEnabled,
		lagKeptMs: 1000,
		group: () => ({
			timesAround: wanted => samples.timesAround(wanted),
			reachedForMs: wanted => clock.nowMs() - samples.reachedAtMs(wanted)!,
		}),
	});
	const pool = {reportLoad: () => poolLoad} as unknown as EndpointPool; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the only method that reports use
	return {reports, clock, pool};
}

describe('HomeLoadReports', () => {
	it('report the load with the position of a replica and the lag that it shows', () => {
		const {reports, pool} = reportsAt(1000);
		reports.noteApplied(endpoint, position(70));
		// The replica lacks position 71, which the primary had at 710.
		expect(reports.report(endpoint, pool)).toEqual({...poolLoad, applied: position(70), lagMs: 290});
	});

	it('consider a replica behind for a position that the primary reached more recently than the lag', () => {
		const {reports} = reportsAt(1000);
		reports.noteApplied(endpoint, position(70));
		expect([60, 70, 71, 100].map(offset => reports.isBehind(endpoint, position(offset)))).toEqual([false, false, true, true]);
	});

	// A home that refused reads on old knowledge would keep them from a replica that has caught up.
	it('consider no replica behind that was not heard from for a second, or that has caught up by its lag', () => {
		const {reports, clock} = reportsAt(1000);
		reports.noteApplied(endpoint, position(70));
		clock.pause(400);
		expect(reports.isBehind(endpoint, position(100))).toEqual(false);
		const other = reportsAt(1000);
		other.reports.noteApplied(endpoint, position(1));
		other.clock.pause(1001);
		expect(other.reports.isBehind(endpoint, position(100))).toEqual(false);
	});

	it('forget what the endpoint had applied before it started again', () => {
		const {reports, pool} = reportsAt(1000);
		reports.noteApplied(endpoint, position(70));
		const restarted = {...endpoint, incarnation: 1};
		expect(reports.report(restarted, pool)).toEqual({...poolLoad, applied: undefined, lagMs: undefined});
		expect(reports.isBehind(restarted, position(100))).toEqual(false);
	});

	it('report nothing while they are off', () => {
		const {reports, pool} = reportsAt(1000, false);
		reports.noteApplied(endpoint, position(70));
		expect([reports.report(endpoint, pool), reports.isBehind(endpoint, position(100))]).toEqual([undefined, false]);
	});
});
