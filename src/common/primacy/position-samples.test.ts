import {describe, it} from 'node:test';
import {expect} from 'earl';
import {PositionSamples} from './position-samples.js';

const at = (offset: number) => ({term: 1, offset});

describe('PositionSamples', () => {
	it('returns the lowest position that covers everything before a moment', () => {
		const samples = new PositionSamples(0, 10_000);
		for (const [sentAtMs, offset] of [[100, 1], [200, 5], [300, 9]] as const) {
			samples.add(sentAtMs, at(offset));
		}

		expect(samples.floor(50)).toEqual(at(1));
		expect(samples.floor(150)).toEqual(at(5));
		expect(samples.floor(300)).toEqual(at(9));
	});

	it('returns undefined for a moment after the newest sample', () => {
		const samples = new PositionSamples(0, 10_000);
		samples.add(100, at(1));
		expect(samples.floor(101)).toEqual(undefined);
	});

	it('dates the positions around that of a replica', () => {
		const samples = new PositionSamples(0, 10_000);
		expect(samples.timesAround(at(1))).toEqual({includedAtMs: undefined, missedAtMs: undefined});
		for (const [sentAtMs, offset] of [[100, 1], [200, 5], [300, 9]] as const) {
			samples.add(sentAtMs, at(offset));
		}

		expect(samples.timesAround(at(0))).toEqual({includedAtMs: undefined, missedAtMs: 100});
		expect(samples.timesAround(at(5))).toEqual({includedAtMs: 200, missedAtMs: 300});
		expect(samples.timesAround(at(6))).toEqual({includedAtMs: 200, missedAtMs: 300});
		expect(samples.timesAround(at(9))).toEqual({includedAtMs: 300, missedAtMs: undefined});
	});

	it('dates when the primary had reached a position, by the newest sample if none shows it', () => {
		const samples = new PositionSamples(0, 10_000);
		expect(samples.reachedAtMs(at(1))).toEqual(undefined);
		for (const [sentAtMs, offset] of [[100, 1], [200, 5], [300, 9]] as const) {
			samples.add(sentAtMs, at(offset));
		}

		expect([0, 1, 2, 5, 9, 10].map(offset => samples.reachedAtMs(at(offset)))).toEqual([100, 100, 200, 200, 300, 300]);
	});

	it('ignores samples older than the newest, and drops expired ones', () => {
		const samples = new PositionSamples(20, 1000);
		samples.add(100, at(1));
		samples.add(90, at(7));
		samples.add(110, at(8));
		expect(samples.newest).toEqual(at(1));
		samples.add(2000, at(9));
		expect(samples.floor(0)).toEqual(at(9));
	});
});
