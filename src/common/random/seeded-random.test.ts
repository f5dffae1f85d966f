import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SeededRandom} from './seeded-random.js';

function draw(seed: number): number[] {
	const random = new SeededRandom(seed);
	return Array.from({length: 100}, () => random.next());
}

describe('SeededRandom', () => {
	it('repeats its sequence for the same seed only, with values in [0, 1)', () => {
		expect(draw(7)).toEqual(draw(7));
		expect(draw(7)).not.toEqual(draw(8));
		expect(draw(7).every(value => value >= 0 && value < 1)).toEqual(true);
	});
});
