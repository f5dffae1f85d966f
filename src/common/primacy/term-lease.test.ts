import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '../testing/virtual-clock.js';
import {TermLease} from './term-lease.js';

const times = {leaseMs: 900, fenceMs: 4000};

describe('TermLease', () => {
	it('counts from the question, and never less for an older proof', () => {
		const lease = new TermLease(new VirtualClock(0), times);
		lease.grant(1, 100);
		lease.grant(1, 50);
		expect([999, 1000].map(atMs => lease.covers(1, atMs))).toEqual([true, false]);
		expect(lease.covers(2, 200)).toEqual(false);
		expect(lease.covers(undefined, 200)).toEqual(false);
	});

	it('takes no proof of a fenced term until the fence is taken back or ends', async () => {
		const clock = new VirtualClock(0);
		const lease = new TermLease(clock, times);
		lease.grant(1, 0);
		lease.fence(1, true);
		expect(lease.covers(1, 0)).toEqual(false);
		expect(lease.provedAgoMs(1)).toEqual(undefined);
		expect(lease.grant(1, 10)).toEqual(false);
		expect(lease.grant(2, 10)).toEqual(true);
		lease.fence(1, false);
		expect(lease.grant(1, 20)).toEqual(true);
		lease.fence(1, true);
		await clock.advance(4000);
		expect(lease.grant(1, 4000)).toEqual(true);
	});
});
