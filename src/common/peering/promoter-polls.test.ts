import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import type {PeerCalls, PeerNode} from '../services/services.js';
import {Fleet} from './fleet.js';
import {PromoterPolls} from './promoter-polls.js';
import {fakePeering, peerNode, unreachableCalls} from './testing/peering-fakes.js';

describe('PromoterPolls', () => {
	// Guards against a lease that goes on although a node that may be replacing its primary has not answered.
	it('counts the denial of one process for no other, whatever their names hold', async () => {
		const [denying, silent]: PeerNode[] = [{...peerNode('n', 'a'), incarnation: 'x 1'}, {...peerNode('n x', 'a'), incarnation: '1'}];
		const overview = {
			service: 'svc', term: 3, primaryId: 'i-1', heardAgoMs: 5, provedAgoMs: 5, replacement: undefined, sample: undefined,
		};
		const calls: PeerCalls = {
			...unreachableCalls,
			async overview({name}) {
				return name === denying.name ? Right([overview]) : Left('no answer');
			},
		};
		const peering = fakePeering(calls);
		const polls = new PromoterPolls({...peering, fleet: new Fleet(peering, peering.directory)});
		peering.directory.learn(denying);
		await polls.refresh('svc', 3);
		expect(polls.unreplacedAtMs('svc', 3) === undefined).toEqual(false);
		peering.directory.learn(silent);
		await polls.refresh('svc', 3);
		expect(polls.unreplacedAtMs('svc', 3)).toEqual(undefined);
	});
});
