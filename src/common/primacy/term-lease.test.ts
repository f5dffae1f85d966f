import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '../testing/virtual-clock.js';
import type {ProofOrigin} from './lease-proof.js';
import {TermLease} from './term-lease.js';

const times = {leaseMs: 900, chainMs: 800};

describe('TermLease', () => {
	let clock: VirtualClock;
	let lease: TermLease;

	function grant(term: number, provedAtMs: number, kind: ProofOrigin['kind'] = 'endpoint'): boolean {
		return lease.grant({term, provedAtMs, origin: {kind, name: 'x'}});
	}

	beforeEach(() => {
		clock = new VirtualClock(0);
		lease = new TermLease(clock, times);
	});

	it('is measured from the request, and is not shortened by an older proof', () => {
		lease.noteCheck({begunTerm: 0, checkedAtMs: 0});
		grant(1, 100);
		grant(1, 50);
		expect([999, 1000].map(atMs => lease.isValidAt(1, atMs))).toEqual([true, false]);
		expect(lease.isValidAt(2, 200)).toEqual(false);
		expect(lease.isValidAt(undefined, 200)).toEqual(false);
	});

	it('grants no proof before a check of the store shows that the term is not being replaced', () => {
		expect((['endpoint', 'peer', 'store'] as const).map(kind => grant(3, 0, kind))).toEqual([false, false, false]);
		lease.noteCheck({begunTerm: 3, checkedAtMs: 5});
		expect(grant(3, 10)).toEqual(false);
		lease.noteCheck({begunTerm: 2, checkedAtMs: 10});
		expect(grant(3, 10)).toEqual(true);
		expect(grant(2, 11)).toEqual(false);
	});

	it('grants a replica\'s proof only as the continuation of a chain', () => {
		lease.noteCheck({begunTerm: 0, checkedAtMs: 0});
		expect([799, 1598, 2398].map(atMs => grant(1, atMs))).toEqual([true, true, false]);
		lease.noteCheck({begunTerm: 0, checkedAtMs: 2390});
		expect(grant(1, 2400)).toEqual(true);
	});

	it('grants a proof by a peer or the store after a gap', () => {
		lease.noteCheck({begunTerm: 0, checkedAtMs: 0});
		expect([grant(1, 5000), grant(1, 5000, 'store'), grant(1, 9000, 'peer')]).toEqual([false, true, true]);
	});

	it('grants no proof of an invalidated term until a newer check of the store', async () => {
		lease.noteCheck({begunTerm: 0, checkedAtMs: 0});
		grant(1, 0);
		await clock.advance(10);
		lease.invalidate(1);
		expect(lease.isValidAt(1, 0)).toEqual(false);
		expect(lease.provedAgoMs(1)).toEqual(undefined);
		expect((['endpoint', 'peer', 'store'] as const).map(kind => grant(1, 10, kind))).toEqual([false, false, false]);
		await clock.advance(100_000);
		expect(grant(1, 100_010, 'peer')).toEqual(false);
		expect(grant(2, 100_010, 'peer')).toEqual(true);
		lease.noteCheck({begunTerm: 0, checkedAtMs: 9});
		expect(grant(1, 100_010)).toEqual(false);
		lease.noteCheck({begunTerm: 0, checkedAtMs: 100_005});
		expect(grant(1, 100_010)).toEqual(true);
		lease.invalidate(1);
		lease.noteCheck({begunTerm: 0, checkedAtMs: clock.nowMs()});
		expect(grant(1, clock.nowMs())).toEqual(false);
	});

	it('revokes its proof when the store shows that its term is being replaced', () => {
		lease.noteCheck({begunTerm: 0, checkedAtMs: 0});
		grant(1, 10);
		lease.noteCheck({begunTerm: 1, checkedAtMs: 20});
		expect(lease.isValidAt(1, 20)).toEqual(false);
		// An older check that arrives late changes nothing.
		lease.noteCheck({begunTerm: 0, checkedAtMs: 15});
		expect(grant(1, 30)).toEqual(false);
	});

	it('continues no chain from before a suspension', async () => {
		lease.noteCheck({begunTerm: 0, checkedAtMs: 0});
		grant(1, 10);
		await clock.advance(20);
		lease.breakChain();
		expect(grant(1, 30)).toEqual(false);
		lease.noteCheck({begunTerm: 0, checkedAtMs: 25});
		expect(grant(1, 30)).toEqual(true);
	});

	it('grants no proof whose response arrived later than a promoter waits, however early the request was sent', async () => {
		lease.noteCheck({begunTerm: 0, checkedAtMs: 0});
		grant(1, 0);
		await clock.advance(1140);
		expect(grant(1, 795)).toEqual(false);
	});

	it('passes no check of the store from before a suspension to other nodes', async () => {
		lease.noteCheck({begunTerm: 0, checkedAtMs: 0});
		await clock.advance(20);
		lease.breakChain();
		expect(lease.check).toEqual(undefined);
	});
});
