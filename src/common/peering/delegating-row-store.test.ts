import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import type {PeerCalls} from '../services/services.js';
import {storeVersion} from '../store/store-version.js';
import {Fleet} from './fleet.js';
import {notFollowedReason, DelegatingRowStore} from './delegating-row-store.js';
import {fakePeering, peerNode, unreachableCalls} from './testing/peering-fakes.js';

/** A node that is not the asker of its zone, which has the most cores. */
function shared(calls: PeerCalls, others = 29): {rows: DelegatingRowStore; peering: ReturnType<typeof fakePeering>} {
	const peering = fakePeering(calls);
	for (let index = 1; index <= others; index++) {
		peering.directory.learn(peerNode(`n${index}`, 'a', index === 1 ? 4 : 1));
	}

	peering.store.put('things', 'a', 'from the store');
	return {peering, rows: new DelegatingRowStore(peering.store, {...peering, fleet: new Fleet(peering, peering.directory)})};
}

const answering: PeerCalls = {
	...unreachableCalls,
	rows: async (peer, table, afterVersion) => Right({
		rows: [{
			table, key: 'a', value: `from ${peer.name}`, version: 7,
		}],
		version: Math.max(7, afterVersion), storeNowMs: 0, isHistoryGone: false,
	}),
};

describe('SharedRows', () => {
	it('asks the node that follows for all, and not the store', async () => {
		const {rows, peering} = shared(answering);
		const read = await rows.read('things', '');
		const followed = await peering.clock.advanceUntil(rows.follow('things', 3, 2000));
		expect([read, followed].map(answer => answer.unsafeCoerce().rows[0].value)).toEqual(['from n1', 'from n1']);
		expect(peering.store.calls).toEqual(0);
	});

	it('asks the store in a small fleet', async () => {
		const {rows} = shared(answering, 3);
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
	});

	it('asks the store where the node does not answer, and passes that node over', async () => {
		const {rows, peering} = shared(unreachableCalls);
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
		expect(peering.directory.reachablePeers().some(({name}) => name === 'n1')).toEqual(false);
	});

	it('asks the store where the node has not noticed that it came back from a copy', async () => {
		const {rows, peering} = shared(answering);
		peering.restores.note(storeVersion(1, 1));
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
	});

	it('asks the store where the node lost it, and goes on asking that node for the rest', async () => {
		const {rows, peering} = shared({...unreachableCalls, rows: async () => Left(notFollowedReason)});
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
		expect(peering.directory.reachablePeers().some(({name}) => name === 'n1')).toEqual(true);
	});

	it('asks one other node of the zone where the store turns the asker away, and that one alone asks the store', async () => {
		// With a third of the nodes turned away for 9 s, every node of a zone whose asker was among
		// them asked the store itself: 16 nodes made some 50 calls a second.
		const asked: string[] = [];
		const {rows, peering} = shared({
			...answering,
			async rows(peer, ...question) {
				asked.push(peer.name);
				return peer.name === 'n1' ? Left(notFollowedReason) : answering.rows(peer, ...question);
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

	it('knows who else is there before it follows a table at the store', async () => {
		// 64 nodes that started at once each left a question with the store that their askers answer.
		const {rows, peering} = shared(answering);
		void rows.follow('things', 3, 2000);
		await peering.clock.advance(100);
		expect(peering.store.calls).toEqual(0);
	});
});
