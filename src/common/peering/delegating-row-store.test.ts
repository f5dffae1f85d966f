import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import type {PeerCalls} from '../services/services.js';
import {storeVersion} from '../store/store-version.js';
import {nodeTable} from './constants.js';
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
});
