import {describe, it} from 'node:test';
import {expect} from 'earl';
import {MemoryRowStore} from '../../../standins/line/memory-row-store.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {DutyChanges} from './duty-changes.js';
import {dutyTable} from './promotion-duty.js';

describe('DutyChanges', () => {
	function make(): {clock: VirtualClock; store: MemoryRowStore; changes: DutyChanges} {
		const clock = new VirtualClock();
		const store = new MemoryRowStore(clock);
		for (let version = 1; version <= 10; version++) {
			store.put('other', `row-${version}`, 'x');
		}

		return {clock, store, changes: new DutyChanges(store)};
	}

	it('sends one request for concurrent callers, since the lowest version', async () => {
		const {clock, store, changes} = make();
		store.put(dutyTable, 'holder', '{}', 'g1');
		const answers = await clock.advanceUntil(Promise.all([12, 11, 15].map(async version => changes.unchangedSince(version))));
		expect([answers, store.calls]).toEqual([[11, 11, 11].map((now, index) => Math.max(now, [12, 11, 15][index])), 1]);
	});

	it('returns undefined if any duty has changed, whichever group asked', async () => {
		const {clock, store, changes} = make();
		store.put(dutyTable, 'holder', '{}', 'g1');
		expect(await clock.advanceUntil(Promise.all([changes.unchangedSince(11), changes.unchangedSince(10)]))).toEqual([undefined, undefined]);
	});

	it('returns undefined if the store is unavailable or has dropped the history', async () => {
		const {clock, store, changes} = make();
		store.isUnavailable = true;
		const whileUnavailable = await clock.advanceUntil(changes.unchangedSince(10));
		store.isUnavailable = false;
		store.dropHistory();
		store.put('other', 'row', 'x');
		expect([whileUnavailable, await clock.advanceUntil(changes.unchangedSince(5))]).toEqual([undefined, undefined]);
	});

	it('does not serve a caller from a request that was sent before its call', async () => {
		const {clock, store, changes} = make();
		const first = changes.unchangedSince(10);
		await Promise.resolve();
		await Promise.resolve();
		store.put(dutyTable, 'holder', '{}', 'g1');
		const second = changes.unchangedSince(10);
		await clock.advanceUntil(first);
		expect([await clock.advanceUntil(second), store.calls]).toEqual([undefined, 2]);
	});
});
