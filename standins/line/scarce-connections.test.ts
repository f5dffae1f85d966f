import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {databases, LineTestCluster, service} from './line-test-cluster.js';

/** Time within which all statements of a test must be answered, in virtual milliseconds. */
const timeoutMs = 2000;

describe('endpoints that accept few connections', () => {
	let cluster: LineTestCluster;

	/** Opens unused connections until each endpoint accepts only `remaining` more. An endpoint counts connections of hosts that lost power for 3 s. */
	function fill(remaining: number): void {
		for (const instance of cluster.group.instances) {
			while (instance.sessions.size < instance.maximumConnections - remaining) {
				instance.open(service, 'other', instance.id);
			}
		}
	}

	/** Sends statements at the same moment through all nodes in turn; resolves to the number that succeeded. */
	async function successes(statements: readonly string[], database: string): Promise<number> {
		const answers = statements.map(async (text, index) =>
			cluster.nodes[index % cluster.nodes.length].session(database).start(text, `id-${index}`));
		await cluster.clock.advance(timeoutMs);
		const settled = await Promise.all(answers);
		return settled.filter(answer => answer.includes('COMPLETE')).length;
	}

	afterEach(() => {
		cluster.dispose();
	});

	it('run statements on the connections that a node has while they accept no more', async () => {
		cluster = new LineTestCluster();
		await cluster.start(1);
		await cluster.nodes[0].session(databases.primary).send('WRITE x 0');
		fill(0);
		const writes = Array.from({length: 12}, (_, index) => `WRITE x ${index}`);
		expect(await successes(writes, databases.primary)).toEqual(writes.length);
	});

	it('have connections for every node when all start while those of dead nodes are still counted', async () => {
		cluster = new LineTestCluster();
		fill(14);
		await cluster.start(7);
		const writes = Array.from({length: 70}, (_, index) => `WRITE x${index} ${index}`);
		expect(await successes(writes, databases.primary)).toEqual(writes.length);
	});

	it('are reached through a node that has a connection, and are not replaced', async () => {
		cluster = new LineTestCluster();
		fill(1);
		await cluster.start(3);
		const writes = Array.from({length: 9}, (_, index) => `WRITE x${index} ${index}`);
		expect(await successes(writes, databases.primary)).toEqual(writes.length);
		await cluster.clock.advance(10_000);
		expect(cluster.ordered).toEqual([]);
	});

	it('do not give all connections to one node while other nodes have none', async () => {
		cluster = new LineTestCluster();
		await cluster.start(3);
		await cluster.clock.advance(4000);
		const [node] = cluster.nodes;
		const sessions = Array.from({length: 20}, () => node.session(databases.primary));
		const begun = sessions.map(async session => {
			await session.start('BEGIN');
			return session.start('WRITE y 1');
		});
		await cluster.clock.advance(500);
		expect(cluster.group.instance('i-1').sessions.size <= 12).toEqual(true);
		expect(await cluster.nodes[1].session(databases.primary).send('WRITE z 1')).toEqual('COMPLETE i-1||READY I 1.1');
		await cluster.clock.advance(5000);
		await Promise.all(begun);
	});
});
