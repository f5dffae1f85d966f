import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import type {PeerCalls} from '../services/services.js';
import {Fleet} from './fleet.js';
import {notFollowed, SharedRows} from './shared-rows.js';
import {fakePeering, peerNode, unreachable} from './testing/peering-fakes.js';

/** A node that is not the asker of its zone, which has the most cores. */
function shared(calls: PeerCalls, others = 29): {rows: SharedRows; peering: ReturnType<typeof fakePeering>} {
	const peering = fakePeering(calls);
	for (let index = 1; index <= others; index++) {
		peering.directory.learn(peerNode(`n${index}`, 'a', index === 1 ? 4 : 1));
	}

	peering.store.put('things', 'a', 'from the store');
	return {peering, rows: new SharedRows(peering.store, {...peering, fleet: new Fleet(peering, peering.directory)})};
}

const answering: PeerCalls = {
	...unreachable,
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
		const followed = await rows.follow('things', 3, 2000);
		expect([read, followed].map(answer => answer.unsafeCoerce().rows[0].value)).toEqual(['from n1', 'from n1']);
		expect(peering.store.calls).toEqual(0);
	});

	it('asks the store in a small fleet', async () => {
		const {rows} = shared(answering, 3);
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
	});

	it('asks the store where the node does not answer, and passes that node over', async () => {
		const {rows, peering} = shared(unreachable);
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
		expect(peering.directory.answering().some(({name}) => name === 'n1')).toEqual(false);
	});

	it('asks the store where the node lost it, and goes on asking that node for the rest', async () => {
		const {rows, peering} = shared({...unreachable, rows: async () => Left(notFollowed)});
		const read = await rows.read('things', '');
		expect(read.unsafeCoerce().rows[0].value).toEqual('from the store');
		expect(peering.directory.answering().some(({name}) => name === 'n1')).toEqual(true);
	});
});
