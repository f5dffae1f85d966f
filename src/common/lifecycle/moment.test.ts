import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Clock} from '../services/services.js';
import {momentAgeMs, momentAfter, currentMoment} from './moment.js';

/** Both clocks of a host, moved by the test. */
class TwoClocks implements Clock {
	steadyMs = 1000;
	wallMs = 1_700_000_000_000;

	nowMs(): number {
		return this.steadyMs;
	}

	wallClockMs(): number {
		return this.wallMs;
	}

	setTimer(): never {
		throw new Error('not used');
	}
}

describe('the age of a moment', () => {
	it('grows while the host is suspended, though its steady clock stands still', () => {
		// A node that froze for ten seconds took what it had heard before for fresh.
		const clock = new TwoClocks();
		const moment = currentMoment(clock);
		clock.wallMs += 10_000;
		expect(momentAgeMs(moment, clock)).toEqual(10_000);
	});

	it('is never less than what the steady clock says', () => {
		const clock = new TwoClocks();
		const moment = currentMoment(clock);
		clock.steadyMs += 3000;
		clock.wallMs -= 60_000;
		expect(momentAgeMs(moment, clock)).toEqual(3000);
	});

	it('counts from a later moment', () => {
		const clock = new TwoClocks();
		const moment = momentAfter(currentMoment(clock), -500);
		expect(momentAgeMs(moment, clock)).toEqual(500);
	});
});
