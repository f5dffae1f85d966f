import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {answerStartsWith} from './line-test-session.js';
import type {LineTestNode} from './line-test-cluster.js';
import {databases, LineTestCluster} from './line-test-cluster.js';

/** Longest line of the protocol, without its line end. */
const maximumLineBytes = 1_048_576;

/** The text of a statement whose line, with an id of one character, is exactly as long as the protocol allows. */
function longest(beginning: string): string {
	return beginning + 'x'.repeat(maximumLineBytes - 'QUERY i '.length - beginning.length);
}

describe('lines that a node makes longer than the caller\'s', () => {
	// Guards against lines of more than 1 MiB: an endpoint closes the connection, and a write that did not run was reported as INDOUBT.
	let cluster: LineTestCluster;

	/** Starts a cluster; returns a node, the number of connections that endpoints closed because of a line's length, and the ids of what ran. */
	async function start(nodes = 1): Promise<{node: LineTestNode; broken: () => number; ran: () => string[]}> {
		cluster = new LineTestCluster();
		await cluster.start(nodes);
		return {
			node: cluster.nodes[0],
			broken: () => cluster.nodes.reduce((sum, {connector}) => sum + connector.closedByLongLines, 0),
			ran: () => cluster.group.instances.flatMap(({ran}) => ran),
		};
	}

	afterEach(() => {
		cluster.dispose();
	});

	it('send a read of the maximum length to the primary, where no position precedes it', async () => {
		const {node, broken, ran} = await start();
		const session = node.session(databases.aged);
		for (let index = 0; index < 6; index++) {
			expect(await answerStartsWith(session.send(longest('READ '), 'r'), 'COMPLETE i-1')).toEqual(true);
		}

		expect(broken()).toEqual(0);
		expect(ran().length).toEqual(6);
	});

	for (const nodes of [1, 4]) {
		it(`refuse an execution under a longer name, and run nothing, with ${nodes} nodes`, async () => {
			const {node, broken, ran} = await start(nodes);
			const session = node.session(databases.primary);
			await session.send('PREPARE s WRITE q');
			await session.send('SET colour red');
			const text = longest('EXECUTE s x ');
			const answer = await session.send(text, 'e');
			expect(answer.startsWith('ERROR MALFORMED message exceeds the configured size limit')).toEqual(true);
			expect(answer.endsWith('READY I -')).toEqual(true);
			expect(broken()).toEqual(0);
			expect(ran()).toEqual([]);
			// The connection still holds what the node believes that it holds.
			expect(await session.send('EXECUTE s x 5')).toEqual('COMPLETE i-1|colour=red|READY I 1.1');
			expect(await node.session(databases.primary).send('READ x')).toEqual('DATAROW 5|COMPLETE i-1||READY I 1.1');
		});
	}

	it('refuse the execution of a statement that cannot be prepared under a longer name', async () => {
		const {node, broken, ran} = await start();
		const session = node.session(databases.primary);
		await session.send(longest('PREPARE s READ '));
		expect(await answerStartsWith(session.send('EXECUTE s x', 'e'), 'ERROR MALFORMED message exceeds')).toEqual(true);
		await session.send('PREPARE s READ q');
		expect(await session.send('EXECUTE s x')).toEqual('COMPLETE i-1||READY I 1.0');
		expect(broken()).toEqual(0);
		expect(ran().includes('e')).toEqual(false);
	});

	it('fail their transaction, which is rolled back on its connection', async () => {
		const {node, broken, ran} = await start();
		const session = node.session(databases.primary);
		await session.send('PREPARE s WRITE q');
		await session.send('BEGIN');
		await session.send('WRITE x 1');
		const {openedConnections} = cluster.group.instance('i-1');
		const answer = await session.send(longest('EXECUTE s x '), 'e');
		expect(answer.startsWith('ERROR MALFORMED message exceeds')).toEqual(true);
		expect(answer.endsWith('READY E -')).toEqual(true);
		expect(await answerStartsWith(session.send('COMMIT'), 'ERROR ABORTED')).toEqual(true);
		await cluster.clock.advance(10);
		expect(await session.send('READ x')).toEqual('COMPLETE i-1||READY I 1.0');
		expect(broken()).toEqual(0);
		expect(ran().includes('e')).toEqual(false);
		expect(cluster.group.instance('i-1').openedConnections).toEqual(openedConnections);
	});
});
