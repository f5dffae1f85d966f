import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {databases, LineTestCluster} from './line-test-cluster.js';
import type {Execution} from './line-group.js';

describe('prepared statements whose shapes have several words', () => {
	let cluster: LineTestCluster;

	async function start(nodes: number): Promise<LineTestCluster> {
		cluster = new LineTestCluster();
		await cluster.start(nodes);
		return cluster;
	}

	/** What the instances ran for a statement's id. */
	function executionOf(id: string): Execution | undefined {
		return cluster.group.instances.map(({executions}) => executions.get(id)).find(execution => execution !== undefined);
	}

	afterEach(() => {
		cluster.dispose();
	});

	it('are logged with the name that the endpoint gets', async () => {
		const {nodes: [node]} = await start(1);
		const session = node.session(databases.primary);
		await session.send('PREPARE s1 READ q0');
		await session.send('EXECUTE s1 x');
		await session.send('PREPARE s2 READ q0 READ ni');
		await session.send('EXECUTE s2 x', 'e2');
		const lines = node.events.filter(({name}) => name === 'statementPrepared').map(({fields}) => fields);
		expect(lines).toEqual([{
			request: 'e2', endpoint: 'i-1', name: 'p2', access: 'read', shapeWords: 3, shapeLength: 10,
		}]);
	});

	for (const nodes of [1, 4]) {
		it(`keep their parameters on their way to an endpoint, with ${nodes} nodes`, async () => {
			const {nodes: [node]} = await start(nodes);
			const session = node.session(databases.primary);
			await session.send('PREPARE s1 READ qa READ fqxdvwub');
			await session.send('EXECUTE s1 x', 'e1');
			expect(executionOf('e1')).toEqual({isWrite: false, shape: 'qa READ fqxdvwub', parameters: 'x'});
		});

		it(`do not replace the statement that another session prepared, with ${nodes} nodes`, async () => {
			const {nodes: [node]} = await start(nodes);
			const one = node.session(databases.primary);
			const two = node.session(databases.primary);
			await one.send('PREPARE s1 READ q0');
			await two.send('PREPARE s1 READ q0 READ ni');
			await one.send('EXECUTE s1 x', 'e1');
			await two.send('EXECUTE s1 x', 'e2');
			await one.send('EXECUTE s1 x', 'e3');
			expect(executionOf('e1')).toEqual({isWrite: false, shape: 'q0', parameters: 'x'});
			expect(executionOf('e3')).toEqual({isWrite: false, shape: 'q0', parameters: 'x'});
		});
	}
});
