import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Right} from 'purify-ts';
import {restoreDefaults} from '../store/constants.js';
import {storeVersion} from '../store/store-version.js';
import {Fleet} from './fleet.js';
import {FleetPrimacyPeers} from './primacy-peers.js';
import {fakePeering, peerNode, unreachableCalls} from './testing/peering-fakes.js';

describe('FleetPrimacyPeers', () => {
	it('reports a fence as partly known while a restored store may lack registrations', async () => {
		const peer = peerNode('n1', 'a');
		const peering = fakePeering({...unreachableCalls, tell: async () => Right(peer)});
		peering.directory.learn(peer);
		const peers = new FleetPrimacyPeers(peering, peering.directory, new Fleet(peering, peering.directory));
		const fence = async (): Promise<string> => peering.clock.advanceUntil(peers.fence('svc', 1, {holder: 'n0', epoch: 1}));
		const outcomes = [await fence()];
		peering.restores.note(storeVersion(1, 1));
		outcomes.push(await fence());
		await peering.clock.advance(restoreDefaults.unregisteredMs);
		outcomes.push(await fence());
		expect(outcomes).toEqual(['everywhere', 'partly', 'everywhere']);
	});
});
