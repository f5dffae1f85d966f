import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {dutyTable} from '../../src/common/primacy/promotion-duty.js';
import {databases, LineTestCluster} from './line-test-cluster.js';

/** Nodes in three zones: as many in a zone as in the largest deployment that is known, twice over. */
const nodeCount = 200;

/** Calls to the store that one node may make for its start: three first reads, its registration, one question for changes of the duties, and a share of what is followed meanwhile. */
const mostStoreCalls = 8;

/** Links that a node which is neither home nor asker may have opened. */
const mostLinks = 20;

// Power comes back to a fleet of hundreds: every node starts at one moment, and what each of them
// does for itself is done hundreds of times before the first callers are served. It told all others
// that it is there, over a link to each, and read the duty of every group.
describe('a fleet of hundreds that starts at once', () => {
	let bench: LineTestCluster;
	const links = new Map<string, Set<string>>();

	beforeEach(async () => {
		bench = new LineTestCluster();
		await bench.start(nodeCount);
		await bench.clock.advance(3000);
		links.clear();
		bench.peerCallListener = ({from, to}) => {
			links.set(from, (links.get(from) ?? new Set()).add(to));
		};
	});

	afterEach(() => {
		bench.dispose();
	});

	it('has every node write its registration once', async () => {
		// Rows that a node hears of over another one may be older than its own registration.
		bench = new LineTestCluster();
		await bench.start(72);
		await bench.clock.advance(3000);
		expect(bench.nodes.flatMap(node => node.logged('registrationRepeated'))).toEqual([]);
		expect(bench.nodes.flatMap(node => node.logged('nodeRegistered')).length).toEqual(72);
	});

	it('serves writes over every node half a second later', async () => {
		bench.restartAll();
		await bench.clock.advance(500);
		const answers = await bench.clock.advanceUntil(Promise.all(bench.nodes.map(async node => node.session(databases.primary).start('WRITE x 1'))));
		expect(answers.filter(answer => !answer.startsWith('COMPLETE'))).toEqual([]);
	});

	it('asks the store for little more than each node has to know', async () => {
		const callsBefore = bench.store.calls;
		const readsBefore = bench.store.reads.get(dutyTable) ?? 0;
		bench.restartAll();
		await bench.clock.advance(2000);
		const calls = (bench.store.calls - callsBefore) / nodeCount;
		const dutyReads = (bench.store.reads.get(dutyTable) ?? 0) - readsBefore;
		expect({calls, isFew: calls <= mostStoreCalls}).toEqual({calls, isFew: true});
		expect({dutyReads, isFew: dutyReads <= nodeCount / 4}).toEqual({dutyReads, isFew: true});
	});

	it('opens links to homes and askers alone', async () => {
		bench.restartAll();
		await bench.clock.advance(2000);
		const counts = [...links.values()].map(({size}) => size);
		expect(Math.max(...counts) <= mostLinks).toEqual(true);
	});
});
