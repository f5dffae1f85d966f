import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {dutyTable} from '../../src/common/primacy/promotion-duty.js';
import {databases, LineTestCluster} from './line-test-cluster.js';

/** Nodes in three zones: twice as many in a zone as in the largest known deployment. */
const nodeCount = 200;

/** Maximum number of calls to the store for the start of one node: three initial reads, its registration, one request for changes of the duties, and a share of the requests that follow tables meanwhile. */
const maximumStoreCalls = 8;

/** Maximum number of links that a node which is neither home nor coordinator may open. */
const maximumLinks = 20;

// When power returns to a fleet of hundreds, all nodes start at the same moment, and the work that each
// does for itself is done hundreds of times before the first callers are served. A node must then not
// announce itself to every other node over a link to each, nor read the duty of every group.
describe('a fleet of hundreds that starts at once', () => {
	let cluster: LineTestCluster;
	const links = new Map<string, Set<string>>();

	beforeEach(async () => {
		cluster = new LineTestCluster();
		await cluster.start(nodeCount);
		await cluster.clock.advance(3000);
		links.clear();
		cluster.peerCallListener = ({from, to}) => {
			links.set(from, (links.get(from) ?? new Set()).add(to));
		};
	});

	afterEach(() => {
		cluster.dispose();
	});

	it('lets every node write its registration only once', async () => {
		// Rows that a node receives from another node may be older than its own registration.
		cluster = new LineTestCluster();
		await cluster.start(72);
		await cluster.clock.advance(3000);
		expect(cluster.nodes.flatMap(node => node.logged('registrationRepeated'))).toEqual([]);
		expect(cluster.nodes.flatMap(node => node.logged('nodeRegistered')).length).toEqual(72);
	});

	it('serves writes through every node half a second after the start', async () => {
		cluster.restartAll();
		await cluster.clock.advance(500);
		const answers = await cluster.clock.advanceUntil(Promise.all(cluster.nodes.map(async node => node.session(databases.primary).start('WRITE x 1'))));
		expect(answers.filter(answer => !answer.startsWith('COMPLETE'))).toEqual([]);
	});

	it('makes few calls to the store per node', async () => {
		const callsBefore = cluster.store.calls;
		const readsBefore = cluster.store.reads.get(dutyTable) ?? 0;
		cluster.restartAll();
		await cluster.clock.advance(2000);
		const calls = (cluster.store.calls - callsBefore) / nodeCount;
		const dutyReads = (cluster.store.reads.get(dutyTable) ?? 0) - readsBefore;
		expect({calls, isFew: calls <= maximumStoreCalls}).toEqual({calls, isFew: true});
		expect({dutyReads, isFew: dutyReads <= nodeCount / 4}).toEqual({dutyReads, isFew: true});
	});

	it('opens links only to homes and coordinators', async () => {
		cluster.restartAll();
		await cluster.clock.advance(2000);
		const counts = [...links.values()].map(({size}) => size);
		expect(Math.max(...counts) <= maximumLinks).toEqual(true);
	});
});
