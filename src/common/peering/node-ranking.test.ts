import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {PeerNode} from '../services/services.js';
import {NodeRanking} from './node-ranking.js';
import {peerNode} from './testing/peering-fakes.js';

const largeHostShare = 0.5;

/** Nodes of two zones; in each, a quarter are on large hosts. */
const nodes: readonly PeerNode[] = Array.from({length: 40}, (_, index) => peerNode(`n${index}`, index % 2 === 0 ? 'a' : 'b', index < 10 ? 1.35 : 0.324));

function names(order: readonly PeerNode[]): string[] {
	return order.map(({name}) => name);
}

describe('NodeRanking', () => {
	it('does not depend on the order in which the nodes were learned', () => {
		const one = new NodeRanking(nodes, largeHostShare);
		const other = new NodeRanking(nodes.toReversed(), largeHostShare);
		for (const work of ['i-1', 'i-2', 'proofs']) {
			expect(names(other.inZone('a', work, 4))).toEqual(names(one.inZone('a', work, 4)));
			expect(names(other.everywhere(work))).toEqual(names(one.everywhere(work)));
		}
	});

	it('puts every large host of a zone before its small ones', () => {
		const cores = new NodeRanking(nodes, largeHostShare).inZone('a', 'i-1', Number.POSITIVE_INFINITY).map(node => node.cores);
		expect(cores).toEqual([...cores].toSorted((a, b) => b - a));
		expect(cores.length).toEqual(20);
	});

	it('moves only the tasks of a node that is gone', () => {
		const [first] = new NodeRanking(nodes, largeHostShare).inZone('a', 'i-1', 1);
		const fewer = new NodeRanking(nodes.filter(({name}) => name !== first.name), largeHostShare);
		const all = new NodeRanking(nodes, largeHostShare);
		for (let work = 0; work < 50; work++) {
			const before = all.inZone('a', `w${work}`, 4).filter(({name}) => name !== first.name).slice(0, 3);
			expect(names(fewer.inZone('a', `w${work}`, 3))).toEqual(names(before));
		}
	});

	it('returns no nodes for a zone without nodes', () => {
		expect(new NodeRanking(nodes, largeHostShare).inZone('c', 'i-1', 4)).toEqual([]);
	});

	// Guards against the cached order of another zone, whose name and task read the same in one text.
	it('returns only nodes of the zone, whatever the names of zones and tasks hold', () => {
		const ranking = new NodeRanking([peerNode('n1', 'a', 1), peerNode('n2', 'a b', 1)], largeHostShare);
		expect(names(ranking.inZone('a', 'b c', 4))).toEqual(['n1']);
		expect(names(ranking.inZone('a b', 'c', 4))).toEqual(['n2']);
	});
});
