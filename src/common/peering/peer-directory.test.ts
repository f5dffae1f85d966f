import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Right} from 'purify-ts';
import type {PeerCalls, PeerNode, PeerNotice} from '../services/services.js';
import {nodeTable, peeringDefaults} from './constants.js';
import {fakePeering, peerNode, unreachableCalls} from './testing/peering-fakes.js';

type Told = {readonly peer: string; readonly notice: PeerNotice['kind']};

/** A node whose calls reach everybody, and what it told. */
function reaching(): ReturnType<typeof fakePeering> & {readonly told: Told[]; register: (node: PeerNode) => void} {
	const told: Told[] = [];
	const calls: PeerCalls = {
		...unreachableCalls,
		async tell(peer, {kind}) {
			told.push({peer: peer.name, notice: kind});
			return Right(peer);
		},
	};
	const peering = fakePeering(calls);
	return {
		...peering,
		told,
		register(node) {
			peering.store.put(nodeTable, node.name, JSON.stringify(node));
		},
	};
}

describe('PeerDirectory', () => {
	it('meets the others of a small fleet once each', async () => {
		const {directory, clock, told, register} = reaching();
		register(peerNode('n1', 'a'));
		register(peerNode('n2', 'b'));
		void directory.run();
		await clock.advance(peeringDefaults.readEveryMs * 3);
		directory.dispose();
		expect(told).toEqual([{peer: 'n1', notice: 'joined'}, {peer: 'n2', notice: 'joined'}]);
	});

	// Nodes that find the fleet large tell nobody, so one that looked a moment earlier, when it was
	// small, has to look again soon.
	it('finds out within seconds that the fleet has become large, and meets nobody then', async () => {
		const {directory, clock, told, register} = reaching();
		register(peerNode('n1', 'a'));
		const run = directory.run();
		await clock.advance(peeringDefaults.meetAfterMs);
		for (let index = 2; index < peeringDefaults.homesFrom + 10; index++) {
			register(peerNode(`n${index}`, 'a'));
		}

		await clock.advanceUntil(run, peeringDefaults.firstReadAfterMs);
		expect([directory.isLarge, told.length]).toEqual([true, 1]);
	});

	it('reads the registrations once where they show a large fleet, as after a loss of power', async () => {
		const {directory, clock, store, told, register} = reaching();
		for (let index = 1; index < peeringDefaults.homesFrom; index++) {
			register(peerNode(`n${index}`, 'a'));
		}

		await clock.advanceUntil(directory.run(), peeringDefaults.meetAfterMs / 2);
		expect([store.reads.get(nodeTable), told.length]).toEqual([1, 0]);
	});

	// A leaving node stays registered; a read of the registrations took it for one that is there, and
	// statements went to it until it refused them.
	it('takes the registration of a node that left for its return only once it has started again', async () => {
		const {directory, clock, register} = reaching();
		register(peerNode('n1', 'a'));
		void directory.run();
		await clock.advance(peeringDefaults.meetAfterMs);
		directory.markLeaving('n1');
		await clock.advanceUntil(directory.refresh());
		const left = directory.others().length;
		register({...peerNode('n1', 'a'), incarnation: '2'});
		await clock.advanceUntil(directory.refresh());
		directory.dispose();
		expect([left, directory.others().length]).toEqual([0, 1]);
	});
});
