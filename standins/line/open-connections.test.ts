import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {lineWire} from '../../platform/line-wire.js';
import {RecordingLog} from '../../src/common/testing/observers.js';
import {VirtualClock} from '../../src/common/testing/virtual-clock.js';
import {poolDefaults} from '../../src/common/pools/constants.js';
import {OpenConnections} from '../../src/common/pools/open-connections.js';
import {PooledConnection} from '../../src/common/pools/pooled-connection.js';
import {emptySessionState} from '../../src/common/pools/session-state.js';
import type {EndpointStatement} from '../../src/common/pools/types.js';
import {MemoryConnector} from './memory-connector.js';
import {LineGroup} from './line-group.js';

const limits = {idle: 3, kept: 3};

function statementOf(organisation: string | undefined): EndpointStatement {
	return {
		id: 'q', text: 'READ x', session: emptySessionState(), caller: 'c', organisation, priority: 1, access: 'read', deadlineMs: 10_000,
	};
}

describe('OpenConnections', () => {
	const clock = new VirtualClock();
	const group = new LineGroup('svc', ['i-1'], clock);
	const connector = new MemoryConnector(group, clock);
	let connections = new OpenConnections(clock, poolDefaults);

	async function open(organisation: string | undefined): Promise<PooledConnection> {
		const endpoint = {
			id: 'i-1', service: 'svc', availabilityZone: 'a', host: 'h', port: 1, slots: 3, isDraining: false, claimsPrimary: true, incarnation: 1,
		};
		const connection = await connector.connect(endpoint, organisation);
		const pooled = new PooledConnection(connection.unsafeCoerce(), organisation, {
			wire: lineWire, clock, log: new RecordingLog(), endpoint: endpoint.id, preparedLimits: {names: 10, shapeCharacters: 1000},
		});
		connections.add(pooled);
		await clock.advance(1);
		return pooled;
	}

	async function openIdle(...organisations: ReadonlyArray<string | undefined>): Promise<PooledConnection[]> {
		const opened: PooledConnection[] = [];
		for (const organisation of organisations) {
			opened.push(await open(organisation));
		}

		for (const connection of opened) {
			connections.release(connection, limits);
		}

		return opened;
	}

	afterEach(() => {
		connections.dispose();
		connections = new OpenConnections(clock, poolDefaults);
	});

	it('gives a connection to no organisation but its own', async () => {
		const [shop] = await openIdle('shop', undefined);
		expect(connections.acquire(statementOf('gang'))).toEqual(undefined);
		expect(connections.acquire(statementOf('shop')) === shop).toEqual(true);
	});

	it('prefers a connection of the node itself to one of an organisation for internal statements', async () => {
		const [shop, own] = await openIdle('shop', undefined);
		expect(connections.acquire() === own).toEqual(true);
		expect(connections.acquire() === shop).toEqual(true);
	});

	it('closes the connection least recently used by statements, regardless of the status requests that used it since', async () => {
		const [shop, gang] = await openIdle('shop', 'gang');
		const asked = connections.acquire()!;
		const answer = asked.control({kind: 'status'}, 100);
		await clock.advance(5);
		await answer;
		connections.release(asked, limits);
		expect(connections.closeOne()).toEqual(true);
		expect([shop.isOpen, gang.isOpen]).toEqual([false, true]);
	});

	it('keeps the most recently used connections when more are released than it keeps', async () => {
		const opened = await openIdle('a', 'b', 'c', 'd', 'e');
		expect(opened.map(({isOpen}) => isOpen)).toEqual([false, false, true, true, true]);
	});

	it('wakes a waiter when a connection of any organisation is released', async () => {
		const connection = await open('shop');
		let isAwake = false;
		void connections.waitForRelease(1000).then(() => {
			isAwake = true;
		});
		await clock.advance(10);
		connections.release(connection, limits);
		await clock.advance(1);
		expect(isAwake).toEqual(true);
	});
});
