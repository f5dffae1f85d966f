import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {databases, LineTestCluster, service} from './line-test-cluster.js';

/** Time that a test's statements may take together, in virtual milliseconds. */
const patienceMs = 2000;

describe('endpoints that accept few connections', () => {
	let bench: LineTestCluster;

	/** Opens connections that nobody uses: an endpoint counts those of hosts that lost power for 3 s. */
	function fill(left: number): void {
		for (const instance of bench.group.instances) {
			while (instance.sessions.size < instance.maximumConnections - left) {
				instance.open(service, 'other', instance.id);
			}
		}
	}

	/** Sends statements at one moment over all nodes by turns; resolves with how many were answered with success. */
	async function successes(statements: readonly string[], database: string): Promise<number> {
		const answers = statements.map(async (text, index) =>
			bench.nodes[index % bench.nodes.length].session(database).start(text, `id-${index}`));
		await bench.clock.advance(patienceMs);
		const settled = await Promise.all(answers);
		return settled.filter(answer => answer.includes('COMPLETE')).length;
	}

	afterEach(() => {
		bench.dispose();
	});

	it('run statements on the connections that a node has while they take no more', async () => {
		bench = new LineTestCluster();
		await bench.start(1);
		await bench.nodes[0].session(databases.primary).send('WRITE x 0');
		fill(0);
		const writes = Array.from({length: 12}, (_, index) => `WRITE x ${index}`);
		expect(await successes(writes, databases.primary)).toEqual(writes.length);
	});

	it('leave room for every node where all start beside the connections of dead ones', async () => {
		bench = new LineTestCluster();
		fill(14);
		await bench.start(7);
		const writes = Array.from({length: 70}, (_, index) => `WRITE x${index} ${index}`);
		expect(await successes(writes, databases.primary)).toEqual(writes.length);
	});

	it('are reached over a node that has a connection, and are not replaced', async () => {
		bench = new LineTestCluster();
		fill(1);
		await bench.start(3);
		const writes = Array.from({length: 9}, (_, index) => `WRITE x${index} ${index}`);
		expect(await successes(writes, databases.primary)).toEqual(writes.length);
		await bench.clock.advance(10_000);
		expect(bench.ordered).toEqual([]);
	});

	it('are not filled by one node while others have none', async () => {
		bench = new LineTestCluster();
		await bench.start(3);
		await bench.clock.advance(4000);
		const [node] = bench.nodes;
		const sessions = Array.from({length: 20}, () => node.session(databases.primary));
		const begun = sessions.map(async session => {
			await session.start('BEGIN');
			return session.start('WRITE y 1');
		});
		await bench.clock.advance(500);
		expect(bench.group.instance('i-1').sessions.size <= 12).toEqual(true);
		expect(await bench.nodes[1].session(databases.primary).send('WRITE z 1')).toEqual('COMPLETE i-1||READY I 1.1');
		await bench.clock.advance(5000);
		await Promise.all(begun);
	});
});
