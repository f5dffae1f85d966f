import {describe, it} from 'node:test';
import {expect} from 'earl';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {LivenessMonitor} from './liveness-monitor.js';

function startMonitor(clock: VirtualClock): {liveness: LivenessMonitor; seen: string[]; subject: {isBusy: boolean}} {
	const seen: string[] = [];
	const subject = {
		isBusy: true,
		onTick(hasReceived: boolean) {
			seen.push(hasReceived ? 'heard' : 'quiet');
		},
		onSilent() {
			seen.push('silent');
		},
	};
	const liveness = new LivenessMonitor(clock, subject, {tickMs: 200, maximumSilentTicks: 4});
	liveness.start();
	return {liveness, seen, subject};
}

describe('LivenessMonitor', () => {
	it('reports a silent peer once, after the maximum number of silent ticks', async () => {
		const clock = new VirtualClock();
		const {seen} = startMonitor(clock);
		await clock.advance(799);
		expect(seen).toEqual(['quiet', 'quiet', 'quiet']);
		await clock.advance(5000);
		expect(seen.slice(3)).toEqual(['silent']);
	});

	it('restarts the count whenever something arrives', async () => {
		const clock = new VirtualClock();
		const {liveness, seen} = startMonitor(clock);
		for (let round = 0; round < 10; round++) {
			await clock.advance(600);
			liveness.received();
		}

		expect(seen.includes('silent')).toEqual(false);
	});

	it('runs no timer while idle', async () => {
		const clock = new VirtualClock();
		const {liveness, seen, subject} = startMonitor(clock);
		subject.isBusy = false;
		await clock.advance(200);
		expect([seen, clock.pendingTimers]).toEqual([[], 0]);
		subject.isBusy = true;
		liveness.start();
		await clock.advance(200);
		expect(seen).toEqual(['quiet']);
		liveness.dispose();
		expect(clock.pendingTimers).toEqual(0);
	});

	it('does not count a pause of its own process as silence of the peer', async () => {
		const clock = new VirtualClock();
		const {seen} = startMonitor(clock);
		await clock.advance(600);
		clock.pause(3000);
		await clock.advance(0);
		expect(seen.includes('silent')).toEqual(false);
	});
});
