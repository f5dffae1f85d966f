import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Right} from 'purify-ts';
import type {PeerCalls, PeerNode, PeerNotice} from '../services/services.js';
import {nestedArrays} from '../testing/odd-json.js';
import {nodeTable, peeringDefaults} from './constants.js';
import {fakePeering, peerNode, unreachableCalls} from './testing/peering-fakes.js';

type SentNotice = {readonly peer: string; readonly notice: PeerNotice['kind']};

/** A node whose calls reach every peer, and the notices that it sent. */
function reachableFleet(): ReturnType<typeof fakePeering> & {readonly sentNotices: SentNotice[]; register: (node: PeerNode) => void} {
	const sent: SentNotice[] = [];
	const calls: PeerCalls = {
		...unreachableCalls,
		async tell(peer, {kind}) {
			sent.push({peer: peer.name, notice: kind});
			return Right(peer);
		},
	};
	const peering = fakePeering(calls);
	return {
		...peering,
		sentNotices: sent,
		register(node) {
			peering.store.put(nodeTable, node.name, JSON.stringify(node));
		},
	};
}

describe('PeerDirectory', () => {
	it('announces itself once to each other node of a small fleet', async () => {
		const {directory, clock, sentNotices, register} = reachableFleet();
		register(peerNode('n1', 'a'));
		register(peerNode('n2', 'b'));
		void directory.run();
		await clock.advance(peeringDefaults.readEveryMs * 3);
		directory.dispose();
		expect(sentNotices).toEqual([{peer: 'n1', notice: 'joined'}, {peer: 'n2', notice: 'joined'}]);
	});

	// Nodes that find the fleet large notify no node, so a node that read the registrations a moment
	// earlier, when the fleet was small, has to read them again soon.
	it('finds out within seconds that the fleet has become large, and announces itself to no more nodes then', async () => {
		const {directory, clock, sentNotices, register} = reachableFleet();
		register(peerNode('n1', 'a'));
		const run = directory.run();
		await clock.advance(peeringDefaults.meetAfterMs);
		for (let index = 2; index < peeringDefaults.homesFrom + 10; index++) {
			register(peerNode(`n${index}`, 'a'));
		}

		await clock.advanceUntil(run, peeringDefaults.firstReadAfterMs);
		expect([directory.isLarge, sentNotices.length]).toEqual([true, 1]);
	});

	it('reads the registrations only once if they show a large fleet, as after a power failure', async () => {
		const {directory, clock, store, sentNotices, register} = reachableFleet();
		for (let index = 1; index < peeringDefaults.homesFrom; index++) {
			register(peerNode(`n${index}`, 'a'));
		}

		await clock.advanceUntil(directory.run(), peeringDefaults.meetAfterMs / 2);
		expect([store.reads.get(nodeTable), sentNotices.length]).toEqual([1, 0]);
	});

	// A node that counts as leaving is not told of fences after a while, so that a promoter would take its lease for ended.
	it('keeps a node that has started again when the notice that its earlier process leaves arrives late', async () => {
		const {directory} = reachableFleet();
		directory.learn({...peerNode('n1', 'a'), incarnation: '2'});
		directory.markLeaving('n1', '1');
		expect([directory.others().map(({incarnation}) => incarnation), directory.leavingPeers()]).toEqual([['2'], []]);
		directory.markLeaving('n1', '2');
		expect([directory.others(), directory.leavingPeers().length]).toEqual([[], 1]);
	});

	// Guards against a leaving node being added again from its registration, which stays in the store:
	// statements would go to it until it refuses them.
	it('takes the registration of a node that left for its return only once it has started again', async () => {
		const {directory, clock, register} = reachableFleet();
		register(peerNode('n1', 'a'));
		void directory.run();
		await clock.advance(peeringDefaults.meetAfterMs);
		directory.markLeaving('n1', '1');
		await clock.advanceUntil(directory.refresh());
		const left = directory.others().length;
		register({...peerNode('n1', 'a'), incarnation: '2'});
		await clock.advanceUntil(directory.refresh());
		directory.dispose();
		expect([left, directory.others().length]).toEqual([0, 1]);
	});

	// An odd row that counted as a node was called, and hindered every promotion, which has to notify all nodes.
	it('skips odd rows and logs each once, however often it is read, and learns a node whose row was mended', async () => {
		const {directory, clock, store, log, register} = reachableFleet();
		register(peerNode('n1', 'a'));
		store.put(nodeTable, 'n2', JSON.stringify({...peerNode('n2', 'a'), port: 99_999}));
		store.put(nodeTable, 'n3', JSON.stringify(peerNode('n1', 'b')));
		store.put(nodeTable, 'n4', nestedArrays());
		void directory.run();
		await clock.advance(peeringDefaults.readEveryMs * 5);
		const unreadable = log.names.filter(name => name === 'nodeRowUnreadable').length;
		expect([directory.others().map(({name}) => name), unreadable]).toEqual([['n1'], 3]);
		register(peerNode('n2', 'a'));
		await clock.advance(peeringDefaults.readEveryMs);
		directory.dispose();
		expect(directory.others().map(({name, availabilityZone}) => name + availabilityZone)).toEqual(['n1a', 'n2a']);
	});
});
