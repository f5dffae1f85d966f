import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {Host} from '../services/services.js';
import {HomeMap} from './home-map.js';

function host(name: string, availabilityZone: string): Host {
	return {
		name, availabilityZone, region: 'r', peerHost: '10.0.0.1', peerPort: 1, operatorPort: 2, incarnation: '1', isLeaving: false,
	};
}

describe('HomeMap', () => {
	// Guards against the home of an endpoint in another zone, whose zone and name read the same in one text.
	it('finds the home in the zone of the endpoint, whatever the names of zones and endpoints hold', () => {
		const map = new HomeMap([host('n1', 'a'), host('n2', 'a/b')], () => 'r', 100);
		expect(map.homeOf({availabilityZone: 'a', name: 'b/c'})?.name).toEqual('n1');
		expect(map.homeOf({availabilityZone: 'a/b', name: 'c'})?.name).toEqual('n2');
	});
});
