import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {databases, LineTestCluster} from './line-test-cluster.js';

describe('prepared statements whose shapes have several words', () => {
	let cluster: LineTestCluster;

	async function start(nodes: number): Promise<LineTestCluster> {
		cluster = new LineTestCluster();
		await cluster.start(nodes);
		return cluster;
	}

	afterEach(() => {
		cluster.dispose();
	});

	it('are logged with the number of words of the name that the endpoint gets', async () => {
		const {nodes: [node]} = await start(1);
		const session = node.session(databases.primary);
		await session.send('PREPARE s1 READ q0');
		await session.send('EXECUTE s1 x');
		await session.send('PREPARE s2 READ q0 READ ni');
		await session.send('EXECUTE s2 x', 'e2');
		const lines = node.events.filter(({name}) => name === 'statementPrepared').map(({fields}) => fields);
		expect(lines).toEqual([{
			request: 'e2', endpoint: 'i-1', nameWords: 3, access: 'read', shapeWords: 3, shapeLength: 10,
		}]);
	});
});
