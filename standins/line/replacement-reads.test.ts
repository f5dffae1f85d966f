import {describe, it} from 'node:test';
import {expect} from 'earl';
import {dutyTable} from '../../src/common/primacy/promotion-duty.js';
import {databases, LineTestCluster} from './line-test-cluster.js';

const nodeCount = 40;

describe('checks whether a primary is being replaced', () => {
	it('read the store at most twice per node during a promotion', async () => {
		const cluster = new LineTestCluster();
		let reads = 0;
		const {store} = cluster;
		const read = store.read.bind(store);
		store.read = async (table, partition) => {
			reads += table === dutyTable ? 1 : 0;
			return read(table, partition);
		};

		await cluster.start(nodeCount);
		const atStart = reads;
		cluster.group.instance('i-1').missesPromotions = true;
		for (const node of cluster.nodes) {
			node.connector.connectionFaults.set('i-1', 'refused');
			node.pools.pool(node.registry.endpoint('i-1')!).closeIdle();
		}

		const endMs = cluster.clock.nowMs() + 4000;
		while (cluster.clock.nowMs() < endMs) {
			await cluster.clock.advanceUntil(Promise.all(cluster.nodes.map(async node => node.session(databases.own).start('WRITE x 1'))));
			await cluster.clock.advance(50);
		}

		cluster.dispose();
		expect(cluster.group.instances.some(({id, isPrimary}) => isPrimary && id !== 'i-1')).toEqual(true);
		expect(reads - atStart <= 2 * nodeCount).toEqual(true);
	});
});
