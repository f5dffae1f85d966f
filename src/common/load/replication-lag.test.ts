import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
	array, assert, integer, property, record,
} from 'fast-check';
import {isProbablyMissing, ReplicationLag} from './replication-lag.js';

describe('ReplicationLag', () => {
	const cases = [
		{name: 'no position of the primary is known', notes: [[{includedAtMs: undefined, missedAtMs: undefined}, 100]], expected: undefined},
		{name: 'the replica includes all that is known', notes: [[{includedAtMs: 90, missedAtMs: undefined}, 100]], expected: 0},
		{name: 'the replica lacks a position for 40 ms', notes: [[{includedAtMs: 20, missedAtMs: 60}, 100]], expected: 40},
		{name: 'the replica has caught up', notes: [[{includedAtMs: 20, missedAtMs: 60}, 100], [{includedAtMs: 195, missedAtMs: undefined}, 200]], expected: 5},
		{name: 'nothing contradicts the estimate', notes: [[{includedAtMs: 20, missedAtMs: 60}, 100], [{includedAtMs: 100, missedAtMs: 190}, 200]], expected: 40},
	] as const;
	for (const {name, notes, expected} of cases) {
		it(`estimates ${expected} ms if ${name}`, () => {
			const lag = new ReplicationLag();
			for (const [times, nowMs] of notes) {
				lag.note(times, nowMs);
			}

			expect(lag.lagMs(notes.at(-1)![1], 1000)).toEqual(expected);
		});
	}

	it('is not known once the last position is too old', () => {
		const lag = new ReplicationLag();
		lag.note({includedAtMs: 20, missedAtMs: 60}, 100);
		expect([lag.lagMs(1100, 1000), lag.lagMs(1101, 1000)]).toEqual([40, undefined]);
	});

	// A replica that receives nothing would otherwise be asked again right after each answer that it is behind.
	it('has a position that is older by a quarter and 10 ms', () => {
		expect([[100, 125], [100, 124], [20, 29], [20, 30], [0, 0]].map(([lagMs, reachedForMs]) => isProbablyMissing(lagMs, reachedForMs))).toEqual([false, true, true, false, false]);
	});

	// An estimate above the lag keeps reads from a replica that could serve them.
	it('never exceeds the lag of a replica by more than the time between two positions of the primary', () => {
		const steps = array(record({afterMs: integer({min: 1, max: 300})}), {minLength: 1, maxLength: 50});
		assert(property(steps, integer({min: 0, max: 900}), integer({min: 1, max: 250}), (asks, lagMs, spacingMs) => {
			const lag = new ReplicationLag();
			let nowMs = 10_000;
			for (const {afterMs} of asks) {
				nowMs += afterMs;
				// The primary is sampled every `spacingMs`; the replica shows what was there `lagMs` ago.
				const includedAtMs = Math.floor((nowMs - lagMs) / spacingMs) * spacingMs;
				const missedAtMs = includedAtMs + spacingMs;
				lag.note({includedAtMs, missedAtMs: missedAtMs <= nowMs ? missedAtMs : undefined}, nowMs);
				const estimatedMs = lag.lagMs(nowMs, 1000)!;
				expect(estimatedMs >= lagMs - spacingMs && estimatedMs <= lagMs).toEqual(true);
			}
		}), {seed: 12, numRuns: 300});
	});
});
