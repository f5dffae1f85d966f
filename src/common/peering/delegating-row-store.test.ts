import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import {pauseFor} from '../lifecycle/timing.js';
import type {PeerCalls} from '../services/services.js';
import {storeVersion} from '../store/store-version.js';
import {nodeTable, peeringDefaults} from './constants.js';
import {Fleet} from './fleet.js';
import {notFollowedReason, DelegatingRowStore} from './delegating-row-store.js';
import {fakePeering, peerNode, unreachableCalls} from './testing/peering-fakes.js';

/** The row store of node `n0`; the coordinator of its zone is `n1`, which has the most cores. */
function setUp(calls: PeerCalls, others = 29): {rows: DelegatingRowStore; peering: ReturnType<typeof fakePeering>} {
	const peering = fakePeering(calls);
	for (let index = 1; index <= others; index++) {
		peering.directory.learn(peerNode(`n${index}`, 'a', index === 1 ? 4 : 1));
	}

	peering.store.put('things', 'a', 'from the store');
	return {peering, rows: new DelegatingRowStore(peering.store, {...peering, fleet: new Fleet(peering, peering.directory)})};
}

const answeringCalls: PeerCalls = {
	...unreachableCalls,
	rows: async (peer, table, afterVersion) => Right({
		rows: [{
			table, key: 'a', value: `from ${peer.name}`, version: 7,
		}],
		version: Math.max(7, afterVersion), storeNowMs: 0, isHistoryGone: false,
	}),
};

describe('DelegatingRowStore', () => {
	it('reads and follows a table over the coordinator, without a call of the store', async () => {
		const {rows, peering} = setUp(answeringCalls);
		const read = await rows.read('things', '');
		const followed = await peering.clock.advanceUntil(rows.follow('things', 3, 2000));
		expect([read, followed].map(answer => answer.unsafeCoerce().rows[0].value)).toEqual(['from n1', 'from n1']);
		expect(peering.store.calls).toEqual(0);
	});

	it('lets requests for registrations wait longer than those by which proofs are dated', async () => {
		// Guards against proofs of keys that are older than a second, and against a third of an idle node's requests for rows.
		const waits: number[] = [];
		const {rows, peering} = setUp({
			...answeringCalls,
			async rows(peer, table, afterVersion, waitMs) {
				waits.push(waitMs);
				return answeringCalls.rows(peer, table, afterVersion, waitMs);
			},
		});
		for (const table of ['things', nodeTable]) {
			await peering.clock.advanceUntil(rows.follow(table, 3, 5000));
		}

		await peering.clock.advanceUntil(rows.follow(nodeTable, 3, 0));
		expect(waits).toEqual([1000, 3000, 0]);
	});

	it('reads from the store in a small fleet', async () => {
		const {rows} = setUp(answeringCalls, 3);
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
	});

	it('reads from the store if the coordinator does not answer, and marks the coordinator unreachable', async () => {
		const {rows, peering} = setUp(unreachableCalls);
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
		expect(peering.directory.reachablePeers().some(({name}) => name === 'n1')).toEqual(false);
	});

	it('reads from the store if the coordinator has not noticed a restore of the store yet', async () => {
		const {rows, peering} = setUp(answeringCalls);
		peering.restores.note(storeVersion(1, 1));
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
	});

	it('reads from the store if the coordinator does not follow the table, and still counts the coordinator as reachable', async () => {
		const {rows, peering} = setUp({...unreachableCalls, rows: async () => Left(notFollowedReason)});
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
		expect(peering.directory.reachablePeers().some(({name}) => name === 'n1')).toEqual(true);
	});

	it('asks one other node of the zone if the store refuses the coordinator, and does not call the store itself', async () => {
		// Guards against every node of a zone calling the store when the store refuses the zone's
		// coordinator: with a third of the nodes refused for 9 s, 16 nodes made some 50 calls a second.
		const asked: string[] = [];
		const {rows, peering} = setUp({
			...answeringCalls,
			async rows(peer, ...query) {
				asked.push(peer.name);
				return peer.name === 'n1' ? Left(notFollowedReason) : answeringCalls.rows(peer, ...query);
			},
		});
		for (let count = 0; count < 10; count++) {
			await rows.read('things', '');
			await peering.clock.advance(100);
		}

		expect(peering.store.calls).toEqual(0);
		expect(new Set(asked).size).toEqual(2);
		expect(asked.filter(name => name === 'n1').length <= 2).toEqual(true);
	});

	it('waits for peer discovery before it follows a table at the store', async () => {
		// Guards against starting nodes that follow at the store because they do not know their
		// coordinator yet: each of 64 nodes that started at once left a waiting request at the store.
		const {rows, peering} = setUp(answeringCalls);
		void rows.follow('things', 3, 2000);
		await peering.clock.advance(100);
		expect(peering.store.calls).toEqual(0);
	});

	/** The row store of node `n0`, which is the coordinator of zone `a`; `b1` is that of zone `b`. */
	function setUpCoordinator(calls: PeerCalls): ReturnType<typeof setUp> & {readonly next: string} {
		const peering = {...fakePeering(calls), self: peerNode('n0', 'a', 4)};
		for (let index = 1; index <= 19; index++) {
			peering.directory.learn(peerNode(`n${index}`, 'a'));
			peering.directory.learn(peerNode(`b${index}`, 'b', index === 1 ? 4 : 1));
		}

		const fleet = new Fleet(peering, peering.directory);
		const [coordinator, next] = fleet.rowAskers(peeringDefaults.rowAskers);
		expect(coordinator.name).toEqual('n0');
		peering.store.put('things', 'a', 'from the store');
		return {peering, rows: new DelegatingRowStore(peering.store, {...peering, fleet}), next: next.name};
	}

	/** Calls that are answered with rows by some nodes; the others do not follow the table. */
	function callsAnsweredBy(names: readonly string[], asked: string[] = []): PeerCalls {
		return {
			...unreachableCalls,
			async rows(peer, ...query) {
				asked.push(peer.name);
				return names.includes(peer.name) ? answeringCalls.rows(peer, ...query) : Left(notFollowedReason);
			},
		};
	}

	it('gives a coordinator that the store refuses the rows of another node of its zone, and has it not pass them on', async () => {
		// Guards against a coordinator whose rows, and proofs of keys, grow old while others of its zone have newer ones.
		const answering = ['b1'];
		const {rows, peering, next} = setUpCoordinator(callsAnsweredBy(answering));
		answering.push(next);
		peering.store.isUnavailable = true;
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual(`from ${next}`);
		expect(read.unsafeCoerce().isForOwnUseOnly).toEqual(true);
	});

	it('gives a coordinator the rows of another zone if the store refuses all askers of its zone', async () => {
		const {rows, peering} = setUpCoordinator(callsAnsweredBy(['b1']));
		peering.store.isUnavailable = true;
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from b1');
		expect(read.unsafeCoerce().isForOwnUseOnly).toEqual(true);
	});

	it('has a coordinator ask the store again with growing backoff while others give it rows, and follow it again afterwards', async () => {
		// Guards against a node that stays with rows of others after the store has recovered.
		const {rows, peering} = setUpCoordinator(callsAnsweredBy(['b1']));
		peering.store.isUnavailable = true;
		const endMs = peering.clock.nowMs() + 10_000;
		while (peering.clock.nowMs() < endMs) {
			await rows.read('things', '');
			await peering.clock.advance(50);
		}

		const {calls} = peering.store;
		// One each 280 to 400 ms, since the calls are 50 ms apart.
		expect({calls, isBounded: calls >= 25 && calls <= 36}).toEqual({calls, isBounded: true});
		peering.store.isUnavailable = false;
		await peering.clock.advance(peeringDefaults.longestAskerRetryMs);
		const read = await rows.read('things', '');
		expect([read.unsafeCoerce().rows[0].value, read.unsafeCoerce().isForOwnUseOnly]).toEqual(['from the store', undefined]);
	});

	it('asks another zone before the store if no asker of the zone has rows', async () => {
		const asked: string[] = [];
		const {rows, peering} = setUp(callsAnsweredBy(['b1'], asked));
		peering.directory.learn(peerNode('b1', 'b'));
		const read = await rows.read('things', '');
		expect(asked.length).toEqual(peeringDefaults.rowAskers + 1);
		expect([read.unsafeCoerce().rows[0].value, read.unsafeCoerce().isForOwnUseOnly]).toEqual(['from b1', true]);
		expect(peering.store.calls).toEqual(0);
	});

	it('asks the store seldom, for all tables together, if no other node has rows', async () => {
		// Guards against 85 nodes that each ask a failing store once a second for each of three tables.
		const {rows, peering} = setUp(callsAnsweredBy([]));
		peering.store.isUnavailable = true;
		const endMs = peering.clock.nowMs() + 20_000;
		while (peering.clock.nowMs() < endMs) {
			await Promise.all(['things', 'others', 'nodes'].map(async table => peering.clock.advanceUntil(rows.follow(table, 3, 2000))));
			await peering.clock.advance(200);
		}

		const {calls} = peering.store;
		// Three at first, since the three tables are asked for at the same moment, then after 1 s, 2 s, and each 4 s.
		expect({calls, isFew: calls <= 3 * (3 + 4)}).toEqual({calls, isFew: true});
	});

	it('reads from the store within 5 s after it has recovered if no other node has rows', async () => {
		const {rows, peering} = setUp(callsAnsweredBy([]));
		peering.store.isUnavailable = true;
		for (let count = 0; count < 100; count++) {
			await peering.clock.advanceUntil(rows.read('things', ''));
			await peering.clock.advance(200);
		}

		peering.store.isUnavailable = false;
		const recoveredAtMs = peering.clock.nowMs();
		let read = await peering.clock.advanceUntil(rows.read('things', ''));
		while (read.isLeft() && peering.clock.nowMs() - recoveredAtMs < 5000) {
			await peering.clock.advance(200);
			read = await peering.clock.advanceUntil(rows.read('things', ''));
		}

		expect(read.isRight()).toEqual(true);
	});

	it('lets proofs share the backoff of a store that fails, and asks for one as soon as it is over', async () => {
		// Guards against 88 nodes that each ask a failing store for a proof every 400 ms.
		const {rows, peering} = setUp(callsAnsweredBy([]));
		const proving = rows.forProofs(peering.store);
		peering.store.isUnavailable = true;
		for (let count = 0; count < 30; count++) {
			const proof = await peering.clock.advanceUntil(proving.follow('things', 1, 0));
			expect(proof.isLeft()).toEqual(true);
			await peering.clock.advance(400);
		}

		// At first, after 1 s, 2 s, and each 4 s.
		const {calls} = peering.store;
		expect({calls, isFew: calls <= 6}).toEqual({calls, isFew: true});
		peering.store.isUnavailable = false;
		await peering.clock.advance(peeringDefaults.longestStoreAwayMs);
		const proof = await peering.clock.advanceUntil(proving.follow('things', peering.store.currentVersion, 0));
		expect(proof.isRight()).toEqual(true);
	});

	it('asks the store for each proof in a small fleet', async () => {
		const {rows, peering} = setUp(answeringCalls, 3);
		const proving = rows.forProofs(peering.store);
		peering.store.isUnavailable = true;
		for (let count = 0; count < 10; count++) {
			await peering.clock.advanceUntil(proving.follow('things', 1, 0));
		}

		expect(peering.store.calls).toEqual(10);
	});

	it('waits for a slow answer once a late one has shown that the store answers again', async () => {
		// Guards against a node that never gets a large row from a slow store, since it gives each probe up too early.
		const {rows, peering} = setUpCoordinator(callsAnsweredBy([]));
		peering.store.isUnavailable = true;
		await peering.clock.advanceUntil(rows.read('things', ''));
		peering.store.isUnavailable = false;
		const read = peering.store.read.bind(peering.store);
		peering.store.read = async (...query) => {
			await pauseFor(peering.clock, peeringDefaults.storeProbeMs * 2);
			return read(...query);
		};

		await peering.clock.advance(peeringDefaults.longestAskerRetryMs);
		const probe = await peering.clock.advanceUntil(rows.read('things', ''));
		expect(probe.isLeft()).toEqual(true);
		await peering.clock.advance(peeringDefaults.storeProbeMs);
		const later = await peering.clock.advanceUntil(rows.read('things', ''));
		expect(later.unsafeCoerce().rows[0].value).toEqual('from the store');
	});
});
