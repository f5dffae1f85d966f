import {describe, it} from 'node:test';
import {expect} from 'earl';
import {settle, VirtualClock} from './virtual-clock.js';

describe('VirtualClock', () => {
	it('runs timers in order, each with its consequences before the next', async () => {
		const clock = new VirtualClock(0);
		const seen: string[] = [];
		const note = (name: string): void => {
			seen.push(`${name}@${clock.nowMs()}`);
		};

		clock.setTimer(20, () => {
			note('b');
		});
		clock.setTimer(10, () => {
			note('a');
			clock.setTimer(5, () => {
				note('a2');
			});
		});
		clock.setTimer(20, () => {
			note('c');
		});
		const cancelled = clock.setTimer(12, () => {
			note('never');
		});
		cancelled.dispose();
		await clock.advance(19);
		expect(seen).toEqual(['a@10', 'a2@15']);
		await clock.advance(1);
		expect(seen).toEqual(['a@10', 'a2@15', 'b@20', 'c@20']);
		expect(clock.pendingTimers).toEqual(0);
	});

	it('runs long promise chains to their end between timers', async () => {
		const clock = new VirtualClock(0);
		const seen: string[] = [];
		const chain = async (): Promise<void> => {
			for (let step = 0; step < 100; step++) {
				await Promise.resolve();
			}

			seen.push('chain');
		};

		clock.setTimer(1, () => {
			void chain();
		});
		clock.setTimer(2, () => {
			seen.push('timer');
		});
		await clock.advance(5);
		expect(seen).toEqual(['chain', 'timer']);
	});

	it('advances until a promise settles, and rejects at the bound', async () => {
		const clock = new VirtualClock(0);
		const promise = new Promise<number>(resolve => {
			clock.setTimer(250, () => {
				resolve(clock.nowMs());
			});
		});
		const never = Promise.race<void>([]);
		expect(await clock.advanceUntil(promise)).toEqual(250);
		await expect(clock.advanceUntil(never, 10)).toBeRejected();
	});

	it('runs due timers late after a pause', async () => {
		const clock = new VirtualClock(0);
		let ranAtMs = 0;
		clock.setTimer(10, () => {
			ranAtMs = clock.nowMs();
		});
		clock.pause(2000);
		await settle();
		expect(ranAtMs).toEqual(0);
		await clock.advance(0);
		expect(ranAtMs).toEqual(2000);
	});
});
