import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Clock} from '../services/services.js';
import {momentAgeMs, momentAfter, currentMoment} from './moment.js';

/** Both clocks of a host, advanced by the test. */
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

describe('momentAgeMs', () => {
	it('includes the time for which the host was suspended and its monotonic clock stopped', () => {
		// Guards against a node that takes old information as fresh after it was suspended for ten seconds.
		const clock = new TwoClocks();
		const moment = currentMoment(clock);
		clock.wallMs += 10_000;
		expect(momentAgeMs(moment, clock)).toEqual(10_000);
	});

	it('is never less than the time on the monotonic clock', () => {
		const clock = new TwoClocks();
		const moment = currentMoment(clock);
		clock.steadyMs += 3000;
		clock.wallMs -= 60_000;
		expect(momentAgeMs(moment, clock)).toEqual(3000);
	});

	it('is larger for an earlier moment', () => {
		const clock = new TwoClocks();
		const moment = momentAfter(currentMoment(clock), -500);
		expect(momentAgeMs(moment, clock)).toEqual(500);
	});
});
