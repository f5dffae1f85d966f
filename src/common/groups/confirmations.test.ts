import {describe, it} from 'node:test';
import {expect} from 'earl';
import {settle, VirtualClock} from '../testing/virtual-clock.js';
import {Confirmations} from './confirmations.js';

/** Waits for positions and records their outcomes, in the order in which they settle. */
function waitingFor(confirmations: Confirmations, positions: ReadonlyArray<readonly [term: number, offset: number]>): string[] {
	const ends: string[] = [];
	for (const [term, offset] of positions) {
		void (async () => {
			const outcome = await confirmations.wait({term, offset}, 1000);
			ends.push(`${term}/${offset} ${outcome.isRight() ? 'confirmed' : 'unknown'}`);
		})();
	}

	return ends;
}

describe('Confirmations', () => {
	it('confirms in the order of positions, regardless of the order of arrival', async () => {
		const confirmations = new Confirmations(new VirtualClock());
		const ends = waitingFor(confirmations, [[1, 3], [1, 1], [1, 2], [1, 4]]);
		await settle();
		confirmations.advance(1, 3);
		await settle();
		expect(ends).toEqual(['1/1 confirmed', '1/2 confirmed', '1/3 confirmed']);
		expect([...confirmations.terms]).toEqual([1]);
		confirmations.advance(1, 9);
		await settle();
		expect(ends.at(-1)).toEqual('1/4 confirmed');
		expect([...confirmations.terms]).toEqual([]);
	});

	it('refuses writes of a fenced term, and writes that no majority confirms in time', async () => {
		const clock = new VirtualClock();
		const confirmations = new Confirmations(clock);
		const ends = waitingFor(confirmations, [[1, 5], [2, 6]]);
		confirmations.fence(2);
		await settle();
		expect(ends).toEqual(['1/5 unknown']);
		await clock.advance(1000);
		expect(ends).toEqual(['1/5 unknown', '2/6 unknown']);
		confirmations.advance(2, 6);
		expect(clock.pendingTimers).toEqual(0);
	});

	it('compacts its queue while the first waiter stays pending', async () => {
		const clock = new VirtualClock();
		const confirmations = new Confirmations(clock);
		const stuck = confirmations.wait({term: 1, offset: 10_000}, 60_000);
		for (let offset = 1; offset <= 5000; offset++) {
			void confirmations.wait({term: 1, offset: 10_000 + offset}, 1);
			await clock.advance(1);
		}

		confirmations.advance(1, 10_000);
		await settle();
		const outcome = await stuck;
		expect(outcome.isRight()).toEqual(true);
		expect([...confirmations.terms]).toEqual([]);
		confirmations.dispose();
		expect(clock.pendingTimers).toEqual(0);
	});

	it('refuses its waiters when disposed', async () => {
		const confirmations = new Confirmations(new VirtualClock());
		const ends = waitingFor(confirmations, [[1, 5]]);
		confirmations.dispose();
		await settle();
		expect(ends).toEqual(['1/5 unknown']);
	});
});
