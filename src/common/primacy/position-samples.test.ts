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
