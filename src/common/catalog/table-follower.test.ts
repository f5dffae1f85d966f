import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {MemoryRowStore} from '../../../standins/line/memory-row-store.js';
import type {Log, StoredRow} from '../services/services.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {catalogDefaults} from './constants.js';
import type {FollowedTableOptions} from './table-follower.js';
import {TableFollower} from './table-follower.js';

const table = 'things';
const silentLog: Log = {
	event() {
		// Not checked.
	},
};

describe('TableFollower', () => {
	let follower: TableFollower;
	const clock = new VirtualClock();

	function follow(options: FollowedTableOptions = {}): {store: MemoryRowStore; seen: string[]} {
		const store = new MemoryRowStore(clock);
		const seen: string[] = [];
		const note = ({key, value}: StoredRow): void => {
			seen.push(`${key}=${value ?? 'gone'}`);
		};

		follower = new TableFollower(table, {
			applySnapshot(rows) {
				for (const row of rows) {
					note(row);
				}
			},
			applyRow: note,
		}, {
			clock, store, log: silentLog, options: catalogDefaults,
		}, options);
		return {store, seen};
	}

	afterEach(() => {
		follower.dispose();
	});

	it('reads the whole table, then each change', async () => {
		const {store, seen} = follow();
		store.put(table, 'a', '1');
		void follower.run();
		await clock.advance(10);
		store.put(table, 'a', '2');
		store.put('others', 'b', '1');
		store.put(table, 'a', undefined);
		await clock.advance(10);
		expect(seen).toEqual(['a=1', 'a=2', 'a=gone']);
	});

	it('waits for changes by long polls instead of polling continuously', async () => {
		const {store} = follow();
		void follower.run();
		await clock.advance(20_000);
		expect(store.calls <= 12).toEqual(true);
	});

	it('lets another node wait for a repetition, passes it on when the wait is over, and wakes it for news and removals', async () => {
		const {store} = follow({isRepetition: (_key, known, value) => value.startsWith(known[0])});
		store.put(table, 'a', 'x1');
		void follower.run();
		await clock.advance(10);
		let {version} = ((await follower.changes(0, 0))!);
		const answersIn = async (waitMs: number, put: () => void): Promise<{tookMs: number; values: Array<string | undefined>}> => {
			const startedAtMs = clock.nowMs();
			let result: {tookMs: number; values: Array<string | undefined>} | undefined;
			void (async () => {
				const answer = await follower.changes(version, waitMs);
				version = answer!.version;
				result = {tookMs: clock.nowMs() - startedAtMs, values: answer!.rows.map(({value}) => value)};
			})();

			await clock.advance(100);
			put();
			await clock.advance(waitMs);
			return result!;
		};

		expect(await answersIn(1000, () => {
			store.put(table, 'a', 'x2');
		})).toEqual({tookMs: 1000, values: ['x2']});
		expect(await answersIn(1000, () => {
			store.put(table, 'a', 'x3');
			store.put(table, 'a', 'y1');
		})).toEqual({tookMs: 100, values: ['y1']});
		store.put(table, 'a', 'y2');
		await clock.advance(10);
		expect(await answersIn(1000, () => {
			store.put(table, 'a', undefined);
		})).toEqual({tookMs: 100, values: [undefined]});
		expect(await answersIn(1000, () => {
			store.put(table, 'a', 'y2');
		})).toEqual({tookMs: 100, values: ['y2']});
	});

	it('reads the whole table again when the history is gone', async () => {
		const {store, seen} = follow();
		void follower.run();
		await clock.advance(10);
		store.isUnavailable = true;
		await clock.advance(3000);
		store.put(table, 'a', '1');
		store.dropHistory();
		store.isUnavailable = false;
		await clock.advance(3000);
		expect(seen).toEqual(['a=1']);
	});

	it('backs off before each read of a store that keeps no history', async () => {
		const {store} = follow();
		store.keepsNoHistory = true;
		void follower.run();
		await clock.advance(1000);
		expect(store.calls <= 45).toEqual(true);
	});

	it('detects by a probe that the store is silent, long before its long poll times out', async () => {
		const {store} = follow();
		void follower.run();
		await clock.advance(10);
		store.isSilent = true;
		void follower.probe();
		await clock.advance(catalogDefaults.probeTimeoutMs + 1);
		expect(follower.isUnavailable).toEqual(true);
	});

	it('considers a store that responds to a probe available', async () => {
		follow();
		void follower.run();
		await clock.advance(10);
		void follower.probe();
		await clock.advance(1000);
		expect(follower.isUnavailable).toEqual(false);
	});

	it('is up to date soon after the store recovers', async () => {
		const {store, seen} = follow();
		void follower.run();
		store.isUnavailable = true;
		await clock.advance(30_000);
		store.put(table, 'a', '1');
		store.isUnavailable = false;
		await clock.advance(catalogDefaults.longestRetryMs + 10);
		expect(seen).toEqual(['a=1']);
	});

	it('retains a bounded number of removed rows, and has nodes that request earlier ones read the whole table', async () => {
		const {store} = follow();
		store.put(table, 'a', '1');
		void follower.run();
		await clock.advance(10);
		for (let index = 0; index < catalogDefaults.keptRemovals * 2; index++) {
			store.put(table, `k-${index}`, '1');
			store.put(table, `k-${index}`, undefined);
			await clock.advance(1);
		}

		const early = await follower.changes(1, 0);
		expect(early?.isHistoryGone).toEqual(true);
		expect(early?.rows.length).toEqual(catalogDefaults.keptRemovals);
		const late = await follower.changes(early!.version - 2, 0);
		expect(late?.isHistoryGone).toEqual(false);
		expect(late?.rows.map(({value}) => value)).toEqual([undefined]);
		const whole = await follower.changes(0, 0);
		expect(whole?.rows.map(({key}) => key)).toEqual(['a']);
	});

	it('dates a proof of freshness from its request, not from the response', async () => {
		// A response may be delayed in transit, and newer rows may exist by the time it arrives.
		const {store} = follow();
		void follower.run();
		await clock.advance(10);
		const askedAtMs = clock.nowMs() - follower.ageMs;
		store.put(table, 'a', '1');
		await clock.advance(10);
		expect(clock.nowMs() - follower.ageMs >= askedAtMs).toEqual(true);
		await clock.advance(catalogDefaults.followWaitMs);
		expect(follower.ageMs <= 2 * catalogDefaults.followWaitMs).toEqual(true);
		expect(follower.ageMs >= catalogDefaults.followWaitMs - 20).toEqual(true);
	});

	it('tells other nodes the age of its own proof', async () => {
		const {store} = follow();
		void follower.run();
		await clock.advance(10);
		store.isUnavailable = true;
		const answer = follower.changes(0, 0);
		await clock.advance(1);
		const {provedAfterMs} = (await answer)!;
		expect(provedAfterMs !== undefined && provedAfterMs <= 0).toEqual(true);
	});

	it('is proved current by a request that does not wait, and still delivers later changes', async () => {
		const {store, seen} = follow();
		void follower.run();
		await clock.advance(1500);
		const renewal = follower.renewProof(store);
		await clock.advance(10);
		await renewal;
		expect(follower.ageMs <= 10).toEqual(true);
		store.put(table, 'a', '1');
		await clock.advance(10);
		expect(seen).toEqual(['a=1']);
	});

	it('keeps serving its rows to other nodes while the history is gone', async () => {
		// Guards against a load peak on a store that drops its history: after six drops in 14 s, each
		// of 64 nodes read the store, because their coordinators reported that they followed nothing
		// until they had read the table themselves.
		const store = new MemoryRowStore(clock);
		const idleSubscriber = {
			applySnapshot() {
				// Not checked.
			},
			applyRow() {
				// Not checked.
			},
		};
		follower = new TableFollower(table, idleSubscriber, {
			clock, store, log: silentLog, options: catalogDefaults, paceMs: () => 200,
		});
		void follower.run();
		await clock.advance(10);
		store.put(table, 'a', '1');
		await clock.advance(10);
		store.put('others', 'b', '1');
		store.dropHistory();
		// The next request follows after the pause, and the read of the whole table shortly after it.
		await clock.advance(210);
		const served = await follower.changes(0, 0);
		expect(served?.rows.map(({value}) => value)).toEqual(['1']);
		store.put(table, 'a', '2');
		await clock.advance(1000);
		const later = await follower.changes(0, 0);
		expect(later?.rows.map(({value}) => value)).toEqual(['2']);
	});
});
