import {describe, it} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'earl';
import {SystemClock} from './system-clock.js';

describe('SystemClock', () => {
	// Node.js replaces a delay above 2^31 - 1 ms by 1 ms: a route without a practical timeout timed out at once.
	for (const delayMs of [2 ** 31, 1e21, Number.MAX_VALUE, Number.POSITIVE_INFINITY]) {
		it(`does not fire a timer of ${delayMs} ms at once`, async () => {
			let hasFired = false;
			const timer = new SystemClock().setTimer(delayMs, () => {
				hasFired = true;
			});
			await pause(20);
			timer.dispose();
			expect(hasFired).toEqual(false);
		});
	}

	it('fires a timer that is due already, or whose delay is negative', async () => {
		const fired = await Promise.all([0, -0, -1, -1e21].map(async delayMs => new Promise<number>(resolve => {
			new SystemClock().setTimer(delayMs, () => {
				resolve(delayMs);
			});
		})));
		expect(fired.length).toEqual(4);
	});
});
