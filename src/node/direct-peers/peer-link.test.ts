import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {pauseFor} from '../../common/lifecycle/timing.js';
import type {PeerNode, PeerNotice, PeerRequestHandlers} from '../../common/services/services.js';
import {VirtualClock} from '../../common/testing/virtual-clock.js';
import {SystemClock} from '../system-clock.js';
import {FaultyProxy} from '../../../standins/line/faulty-proxy.js';
import {directPeerDefaults} from './constants.js';
import {DirectPeerClient} from './peer-client.js';
import {DirectPeerServer} from './peer-server.js';

const self: PeerNode = {
	name: 'n1', availabilityZone: 'a', host: '127.0.0.1', port: 1, incarnation: '1', cores: 1,
};

/** Maximum number of checks, 10 ms apart, whether a connection has ended: the operating system takes some time. */
const maximumChecks = 300;

async function never<T>(): Promise<T> {
	return new Promise(() => undefined); // eslint-disable-line no-promise-executor-return -- never answered
}

const requests: PeerRequestHandlers = {
	self: () => self,
	onNotice() {
		// These tests do not check notices from the client.
	},
	overview: async () => [],
	status: async () => never(),
	rows: async () => undefined,
	run: async () => never(),
	begin: async () => never(),
	runHeld: async () => never(),
	end: async () => undefined,
	takeUsage: async () => undefined,
};

const statement = {
	id: 'q', text: 'READ x', session: {values: new Map(), prepared: new Map()}, caller: 'c', organisation: undefined, priority: 1, access: 'read',
} as const;

describe('a link between nodes', () => {
	const clock = new SystemClock();
	const owned: Array<{dispose(): void}> = [];

	async function start(): Promise<{client: DirectPeerClient; server: DirectPeerServer; proxy: FaultyProxy; peer: PeerNode; notices: PeerNotice[]}> {
		const notices: PeerNotice[] = [];
		const server = new DirectPeerServer({
			clock, requests, configurationVersion: () => 1, log: {
				event() {
					// These tests do not check the log.
				},
			},
		});
		const proxy = new FaultyProxy({host: '127.0.0.1', port: await server.listen('127.0.0.1', 0)});
		const peer = {...self, port: await proxy.listen('127.0.0.1')};
		const client = new DirectPeerClient(clock, notice => {
			notices.push(notice);
		});
		owned.push(client, proxy, server);
		return {
			client, server, proxy, peer, notices,
		};
	}

	afterEach(() => {
		for (const part of owned.splice(0)) {
			part.dispose();
		}
	});

	it('does not mark a peer lost that is only slow with one statement', async () => {
		const {client, peer} = await start();
		const result = await client.run(peer, 'i-1', {...statement, deadlineMs: clock.nowMs() + 900});
		const {isSent, isPeerLost} = result.swap().unsafeCoerce();
		expect({isSent, isPeerLost}).toEqual({isSent: true, isPeerLost: false});
	});

	it('marks a silent peer lost long before the timeout of its calls', async () => {
		const {client, proxy, peer} = await start();
		await client.tell(peer, {kind: 'left', name: 'n9'}, 5000);
		proxy.mode = 'silent';
		const result = await client.run(peer, 'i-1', {...statement, deadlineMs: clock.nowMs() + 600_000});
		const {isSent, isPeerLost} = result.swap().unsafeCoerce();
		expect({isSent, isPeerLost}).toEqual({isSent: true, isPeerLost: true});
	});

	it('opens a new connection after the previous one stopped answering', async () => {
		const {client, proxy, peer} = await start();
		await client.tell(peer, {kind: 'left', name: 'n9'}, 5000);
		proxy.mode = 'silent';
		await client.run(peer, 'i-1', {...statement, deadlineMs: clock.nowMs() + 600_000});
		proxy.mode = 'pass';
		const answer = await client.tell(peer, {kind: 'left', name: 'n9'}, 5000);
		expect(answer.map(({name}) => name).toMaybe().extract()).toEqual('n1');
	});

	it('says that nothing was sent to a peer that was never connected', async () => {
		const {client, proxy, peer} = await start();
		proxy.mode = 'refuse';
		const result = await client.run(peer, 'i-1', {...statement, deadlineMs: clock.nowMs() + 60_000});
		expect(result.swap().unsafeCoerce().isSent).toEqual(false);
	});

	it('leaves no connection open once it is closed', async () => {
		const {client, peer, proxy} = await start();
		await client.tell(peer, {kind: 'left', name: 'n9'}, 5000);
		expect(proxy.openSockets > 0).toEqual(true);
		client.dispose();
		for (let checks = 0; checks < maximumChecks && proxy.openSockets > 0; checks++) {
			await pauseFor(clock, 10);
		}

		expect(proxy.openSockets).toEqual(0);
	});

	it('closes idle links when it opens another', async () => {
		const {peer, proxy} = await start();
		const virtual = new VirtualClock();
		const client = new DirectPeerClient(virtual, () => undefined);
		owned.push(client);
		const tell = async (name: string): Promise<unknown> => client.tell({...peer, name}, {kind: 'left', name: 'n9'}, 5000);
		await tell('n1');
		const socketsOfOne = proxy.openSockets;
		await virtual.advance(directPeerDefaults.idleLinkMs - 1);
		await tell('n2');
		expect(proxy.openSockets).toEqual(2 * socketsOfOne);
		await virtual.advance(1);
		await tell('n3');
		for (let checks = 0; checks < maximumChecks && proxy.openSockets > 2 * socketsOfOne; checks++) {
			await pauseFor(clock, 10);
		}

		expect(proxy.openSockets).toEqual(2 * socketsOfOne);
	});

	it('is notified that the peer leaves, whether it was linked before or after', async () => {
		const {client, server, peer, notices} = await start();
		await client.tell(peer, {kind: 'joined', node: self}, 5000);
		server.announceLeaving();
		const later: PeerNotice[] = [];
		const other = new DirectPeerClient(clock, notice => {
			later.push(notice);
		});
		owned.push(other);
		// A notice that was sent before an answer arrives before it.
		await Promise.all([client, other].map(async one => one.tell(peer, {kind: 'joined', node: self}, 5000)));
		expect([notices, later]).toEqual([[{kind: 'left', name: 'n1'}], [{kind: 'left', name: 'n1'}]]);
	});

	it('answers calls in any order', async () => {
		const {client, peer} = await start();
		const slow = client.run(peer, 'i-1', {...statement, deadlineMs: clock.nowMs() + 500});
		const overview = await client.overview(peer, '', 5000);
		expect(overview.isRight()).toEqual(true);
		const late = await slow;
		expect(late.isLeft()).toEqual(true);
	});
});
