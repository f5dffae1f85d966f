import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {configurationKey, tables} from '../../platform/names.js';
import {databases, LineTestCluster, service} from './line-test-cluster.js';
import {oddConfigurations, oddlyNamedRegistrations, oddRegistrations} from './odd-entries.js';

const route = {
	name: 'r-new', host: 'db-new', kind: 'primary', service, 'timeout-ms': 800, 'max-staleness-ms': 0,
};

describe('nodes that meet odd entries in a table', () => {
	let cluster: LineTestCluster;

	async function start(nodes: number): Promise<LineTestCluster> {
		cluster = new LineTestCluster();
		await cluster.start(nodes);
		return cluster;
	}

	afterEach(() => {
		cluster.dispose();
	});

	/** The codes of the answers that the nodes give to a read; empty after a success. */
	async function readOverAll(database: string): Promise<string[]> {
		const codes: string[] = [];
		for (const node of cluster.nodes) {
			const answer = await node.session(database).send('READ x');
			codes.push(answer.startsWith('ERROR') ? answer : '');
		}

		return codes;
	}

	// One odd route, service or organisation kept the version before in force for all routes.
	it('put the other routes of a configuration in force, and log once what they leave out', async () => {
		const {store, clock, nodes} = await start(4);
		store.put(tables.operator, configurationKey, JSON.stringify({
			version: 2, routes: [{...route, host: 'db-odd', 'timeout-ms': 'none'}, null, route], services: [7, {name: service, 'max-conns': -1}], limits: [],
		}));
		await clock.advance(3000);
		store.keepsNoHistory = true;
		await clock.advance(5000);
		for (const node of nodes) {
			expect([node.catalog.version, node.catalog.route('db-new')?.service, node.catalog.route('db-odd')]).toEqual([2, service, undefined]);
			expect(node.logged('configurationEntriesLeftOut').map(({version, count}) => ({version, count}))).toEqual([{version: 2, count: 4}]);
		}

		expect(await readOverAll('db-new')).toEqual(['', '', '', '']);
	});

	// Without a history, a node reads the whole table about once a second, and logged the same row each time.
	it('keep what is in force under a configuration that cannot be read, log it once, and follow the one that mends it', async () => {
		const {store, clock, nodes} = await start(2);
		for (const {table, key, value} of oddConfigurations) {
			store.put(table, key, value);
			await clock.advance(5);
		}

		await clock.advance(3000);
		store.keepsNoHistory = true;
		const before = nodes.map(node => node.logged('configurationUnreadable').length);
		store.put(tables.operator, configurationKey, '{');
		await clock.advance(5000);
		expect(nodes.map(node => node.logged('configurationUnreadable').length)).toEqual(before.map(count => count + 1));
		expect(await readOverAll(databases.aged)).toEqual(['', '']);
		cluster.configure(3, 'own');
		await clock.advance(3000);
		expect(nodes.map(({catalog}) => [catalog.version, catalog.route(databases.own)])).toEqual(nodes.map(() => [3, undefined]));
	});

	it('keep the other instances, log each odd registration once, and learn an instance whose registration is mended', async () => {
		const {store, clock, nodes} = await start(4);
		for (const {table, key, value} of [...oddRegistrations, ...oddlyNamedRegistrations]) {
			store.put(table, key, value);
		}

		await clock.advance(3000);
		store.keepsNoHistory = true;
		await clock.advance(5000);
		for (const node of nodes) {
			const keys = node.logged('registrationUnreadable').map(({key}) => key);
			expect([keys.length > 100, keys.length]).toEqual([true, new Set(keys).size]);
			expect(node.registry.ofService(service).map(({id}) => id).toSorted()).toEqual(['i-1', 'i-2', 'i-3']);
		}

		expect(await readOverAll(databases.aged)).toEqual(['', '', '', '']);
		const {key, value} = oddRegistrations[0];
		store.put(tables.instances, key, value);
		const mended = {
			service: 'mended', addr: '10.0.0.9:65535', zone: 'a', version: '', capacity: 1, state: 'ready', 'warmup-left-ms': 0, 'db-role': 'replica', seq: 0,
		};
		store.put(tables.instances, key, JSON.stringify(mended));
		await clock.advance(3000);
		expect(nodes.map(({registry}) => registry.endpoint(key)?.port)).toEqual(nodes.map(() => 65_535));
	});
});
