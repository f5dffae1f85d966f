import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {ReportedStatus} from '../pools/types.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {EndpointReports} from './endpoint-reports.js';

describe('EndpointReports', () => {
	let clock: VirtualClock;
	let reports: EndpointReports;

	function report(offset: number, {term = 3, sentAtMs = clock.nowMs()}: {readonly term?: number; readonly sentAtMs?: number} = {}): ReportedStatus {
		const status = {
			isPrimary: false, term, received: {term, offset}, fencedForTerm: 0, lagMs: 0, busySlots: 0, connections: 1,
		};
		return {status, applied: undefined, sentAtMs};
	}

	beforeEach(async () => {
		clock = new VirtualClock();
		reports = new EndpointReports(clock);
		await clock.advance(1000);
	});

	it('takes a position that decreased within a term as a restart', async () => {
		expect(reports.noteStatus('i-1', report(7))).toEqual(false);
		await clock.advance(10);
		expect(reports.noteStatus('i-1', report(2))).toEqual(true);
		expect(reports.status('i-1')?.status.received.offset).toEqual(2);
	});

	it('does not take a late response to an earlier request as a restart', async () => {
		const earlier = report(2);
		await clock.advance(10);
		reports.noteStatus('i-1', report(7));
		expect(reports.noteStatus('i-1', earlier)).toEqual(false);
	});

	it('does not take a rollback by a promotion as a restart', async () => {
		reports.noteStatus('i-1', report(7));
		await clock.advance(10);
		expect(reports.noteStatus('i-1', report(2, {term: 4}))).toEqual(false);
	});

	it('takes an applied position that decreased as a restart', async () => {
		reports.noteApplied('i-1', {term: 3, offset: 7}, clock.nowMs());
		await clock.advance(10);
		expect(reports.noteApplied('i-1', {term: 3, offset: 6}, clock.nowMs())).toEqual(true);
		expect(reports.applied('i-1')?.position.offset).toEqual(6);
	});

	it('accepts no proof from a restarted endpoint until it is cleared', () => {
		expect(reports.mayProve('i-1')).toEqual(true);
		reports.reset('i-1');
		expect(reports.mayProve('i-1')).toEqual(false);
		reports.clearMissedFence('i-1', reports.returnCount('i-1'));
		expect(reports.mayProve('i-1')).toEqual(true);
	});

	it('is not cleared by a check that began before another restart', () => {
		reports.reset('i-1');
		const returnCount = reports.returnCount('i-1');
		reports.reset('i-1');
		reports.clearMissedFence('i-1', returnCount);
		expect(reports.mayProve('i-1')).toEqual(false);
	});
});
