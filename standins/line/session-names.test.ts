import {
	afterEach, beforeEach, describe, it,
} from 'node:test';
import {expect} from 'earl';
import type {LineTestSession} from './line-test-session.js';
import {databases, LineTestCluster} from './line-test-cluster.js';
import {LinkModel} from './links/link-model.js';

/** Number of nodes from which on most of them reach an endpoint over another node only. */
const nodeCount = 18;
/** Bandwidth of every node's link: 1 Gbit/s. */
const bytesPerMs = 125_000;

/** Names that mean something to the language. */
const oddNames = [...Object.getOwnPropertyNames(Object.prototype), 'prototype', '0', '\u00FF\u0000'];

describe('a session whose statements run over another node', () => {
	let cluster: LineTestCluster;

	/** Opens a session at a node that connects to no endpoint. */
	function openSession(database: string): LineTestSession {
		const node = cluster.nodes.find(({registry, fleet}) => cluster.group.instances.every(({id}) => fleet.connectionRole(registry.endpoint(id)!) === 'forNone'))!;
		return node.session(database);
	}

	beforeEach(async () => {
		cluster = new LineTestCluster();
		cluster.links = new LinkModel(cluster.clock, () => bytesPerMs);
		await cluster.start(nodeCount);
	});

	afterEach(() => {
		cluster.dispose();
	});

	it('keeps every value, whatever its name', async () => {
		const session = openSession(databases.primary);
		for (const name of oddNames) {
			await session.send(`SET ${name} of-${name}`);
		}

		const values = oddNames.map(name => `${name}=of-${name}`).toSorted().join(',');
		for (const text of ['WRITE x 1', 'READ x', 'BEGIN', 'READ x', 'COMMIT']) {
			const answer = await session.send(text);
			expect(answer.slice(0, answer.lastIndexOf('|'))).toInclude(text === 'BEGIN' ? 'COMPLETE -' : values);
		}
	});

	it('executes what it prepared, whatever the names of its statements and the shapes', async () => {
		const session = openSession(databases.primary);
		for (const [index, name] of oddNames.entries()) {
			await session.send(`PREPARE ${name} READ ${name} ${index}`);
		}

		for (const [index, name] of oddNames.entries()) {
			await session.send(`EXECUTE ${name} x ${name}`, `e${index}`);
			const [execution] = cluster.group.instances.flatMap(({executions}) => executions.get(`e${index}`) ?? []);
			expect(execution).toEqual({isWrite: false, shape: `${name} ${index}`, parameters: `x ${name}`});
		}
	});

	it('refuses a statement that is too large for a message between nodes, and does not run it', async () => {
		const session = openSession(databases.primary);
		const other = openSession(databases.primary);
		const mebibyte = '\u00FF'.repeat(1_000_000);
		for (const name of ['a', 'b', 'c', 'd', 'e']) {
			await session.send(`SET ${name} ${mebibyte}`);
		}

		const unaffected = other.start('READ x');
		const single = await session.send('WRITE x 1', 'w1');
		expect(single).toInclude('ERROR MALFORMED message exceeds the configured size limit');
		await session.send('BEGIN');
		const inTransaction = await session.send('WRITE x 2', 'w2');
		expect(inTransaction).toInclude('ERROR MALFORMED message exceeds the configured size limit');
		expect(cluster.group.instances.flatMap(({ran}) => ran.filter(id => id === 'w1' || id === 'w2'))).toEqual([]);
		expect(await cluster.clock.advanceUntil(unaffected)).toInclude('COMPLETE');
	});
});
