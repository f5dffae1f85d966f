import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '../testing/virtual-clock.js';
import {usageDefaults} from './constants.js';
import {HolderSilence} from './holder-silence.js';

const {holderLostAfterMs, silenceForgottenMs, askTimeoutMs} = usageDefaults;

describe('HolderSilence', () => {
	function create(): {silence: HolderSilence; clock: VirtualClock; fail: () => Promise<boolean>} {
		const clock = new VirtualClock();
		const silence = new HolderSilence(clock, usageDefaults);
		return {
			silence,
			clock,
			async fail() {
				const sentAtMs = clock.nowMs();
				await clock.advance(askTimeoutMs);
				return silence.noteNoAnswer('holder', sentAtMs);
			},
		};
	}

	// Guards against a second holder of a budget whose first one is only slow.
	it('does not count a holder as lost after a single late answer', async () => {
		const {fail} = create();
		expect(await fail()).toEqual(false);
	});

	it('counts a holder as lost once nothing was answered for the whole time', async () => {
		const {fail} = create();
		let attempts = 1;
		while (!await fail()) {
			attempts += 1;
		}

		expect(attempts).toEqual(Math.ceil(holderLostAfterMs / askTimeoutMs));
	});

	it('begins anew after an answer, and after a time without requests', async () => {
		const {silence, clock, fail} = create();
		await fail();
		silence.noteAnswer('holder');
		await clock.advance(holderLostAfterMs);
		expect(await fail()).toEqual(false);
		await clock.advance(silenceForgottenMs + 1);
		expect(await fail()).toEqual(false);
	});
});
