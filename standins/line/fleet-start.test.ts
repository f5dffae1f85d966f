import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {dutyTable} from '../../src/common/primacy/promotion-duty.js';
import {databases, LineTestCluster} from './line-test-cluster.js';

/** Nodes in three zones: as many in a zone as in the largest deployment that is known, twice over. */
const nodeCount = 200;

/** Calls to the store that one node may make for its start: three first reads, its registration, one question for changes of the duties, and a share of what is followed meanwhile. */
const maximumStoreCalls = 8;

/** Links that a node which is neither home nor asker may have opened. */
const maximumLinks = 20;

// Power comes back to a fleet of hundreds: every node starts at one moment, and what each of them
// does for itself is done hundreds of times before the first callers are served. It told all others
// that it is there, over a link to each, and read the duty of every group.
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

	it('has every node write its registration once', async () => {
		// Rows that a node hears of over another one may be older than its own registration.
		cluster = new LineTestCluster();
		await cluster.start(72);
		await cluster.clock.advance(3000);
		expect(cluster.nodes.flatMap(node => node.logged('registrationRepeated'))).toEqual([]);
		expect(cluster.nodes.flatMap(node => node.logged('nodeRegistered')).length).toEqual(72);
	});

	it('serves writes over every node half a second later', async () => {
		cluster.restartAll();
		await cluster.clock.advance(500);
		const answers = await cluster.clock.advanceUntil(Promise.all(cluster.nodes.map(async node => node.session(databases.primary).start('WRITE x 1'))));
		expect(answers.filter(answer => !answer.startsWith('COMPLETE'))).toEqual([]);
	});

	it('asks the store for little more than each node has to know', async () => {
		const callsBefore = cluster.store.calls;
		const readsBefore = cluster.store.reads.get(dutyTable) ?? 0;
		cluster.restartAll();
		await cluster.clock.advance(2000);
		const calls = (cluster.store.calls - callsBefore) / nodeCount;
		const dutyReads = (cluster.store.reads.get(dutyTable) ?? 0) - readsBefore;
		expect({calls, isFew: calls <= maximumStoreCalls}).toEqual({calls, isFew: true});
		expect({dutyReads, isFew: dutyReads <= nodeCount / 4}).toEqual({dutyReads, isFew: true});
	});

	it('opens links to homes and askers alone', async () => {
		cluster.restartAll();
		await cluster.clock.advance(2000);
		const counts = [...links.values()].map(({size}) => size);
		expect(Math.max(...counts) <= maximumLinks).toEqual(true);
	});
});
