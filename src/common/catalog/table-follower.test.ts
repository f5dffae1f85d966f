import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {Right} from 'purify-ts';
import {MemoryRowStore} from '../../../standins/line/memory-row-store.js';
import {SeededRandom} from '../random/seeded-random.js';
import type {Log, StoredRow} from '../services/services.js';
import {VirtualClock} from '../testing/virtual-clock.js';
import {catalogDefaults} from './constants.js';
import type {FollowedTableOptions, FollowerServices} from './table-follower.js';
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

	/** Follows the table as a node of a large fleet. */
	function followPaced(): {store: MemoryRowStore; seen: string[]} {
		return follow({}, {paceMs: () => 200, random: new SeededRandom(1)});
	}

	function follow(options: FollowedTableOptions = {}, services: Pick<FollowerServices, 'paceMs' | 'random'> = {}): {store: MemoryRowStore; seen: string[]} {
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
			clock, store, log: silentLog, options: catalogDefaults, ...services,
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

	it('requests only changes in a probe or refresh once it knows the table', async () => {
		// Guards against a read of 300 KB for every caller with an unknown database, and against probes that time out on slow links.
		const {store} = follow();
		store.put(table, 'a', '1');
		void follower.run();
		await clock.advance(10);
		const reads = store.reads.get(table);
		await clock.advanceUntil(follower.probe());
		store.put(table, 'b', '2');
		expect(await clock.advanceUntil(follower.refresh())).toEqual(undefined);
		expect(store.reads.get(table)).toEqual(reads);
		const known = await follower.changes(0, 0);
		expect(known?.rows.map(({key}) => key)).toEqual(['a', 'b']);
	});

	it('redacts rows of the store, and not again those that other nodes have redacted', async () => {
		// Guards against API keys that are kept as the operator wrote them, and against parsing a row of 300 KB twice on every node.
		const store = new MemoryRowStore(clock);
		let areRedacted = false;
		let redactions = 0;
		const seen: Array<string | undefined> = [];
		const note = ({value}: StoredRow): void => {
			seen.push(value);
		};

		follower = new TableFollower(table, {
			applySnapshot(rows) {
				for (const row of rows) {
					note(row);
				}
			}, applyRow: note,
		}, {
			clock, log: silentLog, options: catalogDefaults, store: {
				async read(...query) {
					const answer = await store.read(...query);
					return answer.map(rows => ({...rows, areRedacted}));
				},
				async follow(...query) {
					const answer = await store.follow(...query);
					return answer.map(rows => ({...rows, areRedacted}));
				},
				write: async write => store.write(write),
			},
		}, {
			redactValue(value) {
				redactions += 1;
				return `redacted ${value}`;
			},
		});
		store.put(table, 'a', '1');
		void follower.run();
		await clock.advance(10);
		store.put(table, 'a', '2');
		await clock.advance(10);
		areRedacted = true;
		store.put(table, 'a', 'redacted 3');
		await clock.advance(10);
		expect(seen).toEqual(['redacted 1', 'redacted 2', 'redacted 3']);
		expect(redactions).toEqual(2);
		const served = await follower.changes(0, 0);
		expect(served?.areRedacted).toEqual(true);
	});

	it('reads the whole table in a refresh if the history is gone', async () => {
		const {store} = follow();
		store.put(table, 'a', '1');
		void follower.run();
		await clock.advance(10);
		store.put(table, 'b', '2');
		store.dropHistory();
		store.keepsNoHistory = true;
		expect(await clock.advanceUntil(follower.refresh())).toEqual(undefined);
		const known = await follower.changes(0, 0);
		expect(known?.rows.map(({key}) => key)).toEqual(['a', 'b']);
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

		// Every removal takes two versions. Rows that come with a lost history would be sent twice.
		const newest = 1 + (catalogDefaults.keptRemovals * 4);
		const oldestKept = newest - (catalogDefaults.keptRemovals * 2);
		const early = await follower.changes(oldestKept - 1, 0);
		expect([early?.version, early?.isHistoryGone, early?.rows.length]).toEqual([newest, true, 0]);
		const kept = await follower.changes(oldestKept, 0);
		expect([kept?.isHistoryGone, kept?.rows.length]).toEqual([false, catalogDefaults.keptRemovals]);
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

	it('reads a store that keeps no history about once a second in a large fleet, and follows it again once it keeps one', async () => {
		// Guards against a load peak on a store that has lost its history: three nodes that follow three
		// tables made 4,755 calls in 14 s, since each read of a table ended the backoff.
		const {store, seen} = followPaced();
		void follower.run();
		store.put(table, 'a', '1');
		store.keepsNoHistory = true;
		await clock.advance(3000);
		const callsBefore = store.calls;
		await clock.advance(10_000);
		expect(store.calls - callsBefore <= 2 * 12).toEqual(true);
		store.put(table, 'a', '2');
		await clock.advance(catalogDefaults.longestHistoryRetryMs * (1 + catalogDefaults.retryJitterShare));
		expect(seen.at(-1)).toEqual('a=2');
		expect(follower.ageMs <= catalogDefaults.longestHistoryRetryMs * (1 + catalogDefaults.retryJitterShare)).toEqual(true);
		store.keepsNoHistory = false;
		store.put(table, 'a', '3');
		await clock.advance(catalogDefaults.longestHistoryRetryMs * (1 + catalogDefaults.retryJitterShare));
		store.put(table, 'a', '4');
		await clock.advance(catalogDefaults.retryMs * 10);
		expect(seen.at(-1)).toEqual('a=4');
	});

	it('answers other nodes with the differences after it has read a table again, removals included', async () => {
		// Guards against every node of a zone requesting the whole table from this one after each such read.
		const {store} = followPaced();
		store.put(table, 'kept', '1');
		store.put(table, 'removed', '1');
		void follower.run();
		await clock.advance(10);
		const {version} = (await follower.changes(0, 0))!;
		store.keepsNoHistory = true;
		store.put(table, 'removed', undefined);
		store.put(table, 'added', '1');
		await clock.advance(3000);
		const later = (await follower.changes(version, 0))!;
		expect(later.isHistoryGone).toEqual(false);
		expect(later.rows.map(({key, value}) => [key, value])).toEqual([['removed', undefined], ['added', '1']]);
		store.put(table, 'removed', '2');
		await clock.advance(2000);
		const latest = (await follower.changes(later.version, 0))!;
		expect(latest.rows.map(({key, value}) => [key, value])).toEqual([['removed', '2']]);
		const whole = (await follower.changes(0, 0))!;
		expect(whole.rows.map(({key}) => key).toSorted()).toEqual(['added', 'kept', 'removed']);
	});

	it('has a node read the whole table whose version lies between the last change and such a read', async () => {
		// Guards against a row that this node never knew, and that the other node keeps although it was removed.
		const {store} = follow();
		store.put(table, 'a', '1');
		void follower.run();
		await clock.advance(10);
		const early = store.currentVersion;
		store.isUnavailable = true;
		await clock.advance(3000);
		store.put(table, 'x', '1');
		const between = store.currentVersion;
		store.put(table, 'x', undefined);
		store.dropHistory();
		store.isUnavailable = false;
		await clock.advance(3000);
		const answers = await clock.advanceUntil(Promise.all([early, between, store.currentVersion].map(async version => follower.changes(version, 0))));
		expect(answers.map(answer => answer?.isHistoryGone)).toEqual([false, true, false]);
	});

	it('does not apply a change that was delayed beyond a read of the table in which its row is missing', async () => {
		const {store, seen} = follow();
		store.put(table, 'a', '1');
		void follower.run();
		await clock.advance(10);
		store.isUnavailable = true;
		await clock.advance(3000);
		store.put(table, 'x', '1');
		const row = {
			table, key: 'x', value: '1', version: store.currentVersion,
		};
		store.put(table, 'x', undefined);
		store.dropHistory();
		store.isUnavailable = false;
		await clock.advance(3000);
		await follower.renewProof({
			follow: async () => Right({
				rows: [row], version: row.version, storeNowMs: 0, isHistoryGone: false,
			}),
		});
		expect(seen.includes('x=1')).toEqual(false);
	});

	it('has other nodes read the whole table after a restore of the store', async () => {
		// A version of an earlier era does not show which of the rows a node knows.
		const {store} = followPaced();
		store.put(table, 'a', '1');
		void follower.run();
		await clock.advance(10);
		const {version} = (await follower.changes(0, 0))!;
		store.restore(store.takeSnapshot());
		store.put(table, 'a', '2');
		await clock.advance(3000);
		const later = (await follower.changes(version, 0))!;
		expect(later.isHistoryGone).toEqual(true);
	});

	it('does not pass on rows for its own use, and tells a waiting node so at once', async () => {
		// Guards against two nodes that give each other rows which neither has from the store, and which
		// would then both stop asking the store.
		const {store, seen} = follow();
		store.put(table, 'a', '1');
		void follower.run();
		await clock.advance(10);
		const {version} = (await follower.changes(0, 0))!;
		const storeFollow = store.follow.bind(store);
		store.follow = async (...query) => {
			const answer = await storeFollow(...query);
			return answer.map(rows => ({...rows, isForOwnUseOnly: true}));
		};

		await clock.advance(catalogDefaults.followWaitMs);
		const waiting = follower.changes(version, 60_000);
		await clock.advance(catalogDefaults.followWaitMs);
		expect(await waiting).toEqual(undefined);
		expect(await follower.changes(0, 0)).toEqual(undefined);
		store.put(table, 'a', '2');
		await clock.advance(10);
		expect(seen.at(-1)).toEqual('a=2');
		store.follow = storeFollow;
		await clock.advance(catalogDefaults.followWaitMs * 2);
		const served = await follower.changes(0, 0);
		expect(served?.rows.map(({value}) => value)).toEqual(['2']);
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
