import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {RegisteredEndpoint} from '../services/services.js';
import {Fleet} from './fleet.js';
import {peeringDefaults} from './constants.js';
import {fakePeering, peerNode} from './testing/peering-fakes.js';

function endpoint(id: string, availabilityZone: string): RegisteredEndpoint {
	return {
		id, availabilityZone, service: 'svc', host: id, port: 1, slots: 3, isDraining: false, claimsPrimary: false, incarnation: 0,
	};
}

/** A fleet of `n0` and `others` more nodes, in zones a, b and c by turns. */
function fleetOf(others: number): {fleet: Fleet; peering: ReturnType<typeof fakePeering>} {
	const peering = fakePeering();
	for (let index = 1; index <= others; index++) {
		peering.directory.learn(peerNode(`n${index}`, 'abc'[index % 3]));
	}

	return {fleet: new Fleet(peering, peering.directory), peering};
}

describe('Fleet', () => {
	it('has every node open its own connections in a small fleet', () => {
		const {fleet} = fleetOf(peeringDefaults.homesFrom - 2);
		expect(fleet.isLarge).toEqual(false);
		expect(fleet.homes(endpoint('i-1', 'a'))).toEqual([]);
		expect(fleet.connectionRole(endpoint('i-1', 'a'))).toEqual('forItself');
	});

	it('chooses the same two homes in the endpoint\'s zone on every node', () => {
		const {fleet} = fleetOf(29);
		const other = fakePeering();
		for (let index = 29; index >= 1; index--) {
			other.directory.learn(peerNode(`n${index}`, 'abc'[index % 3]));
		}

		const homes = fleet.homes(endpoint('i-1', 'b'));
		expect(homes.map(({availabilityZone}) => availabilityZone)).toEqual(['b', 'b']);
		expect(new Fleet(other, other.directory).homes(endpoint('i-1', 'b')).map(({name}) => name)).toEqual(homes.map(({name}) => name));
	});

	it('replaces only the home that does not answer, and chooses it again after its backoff', async () => {
		const {fleet, peering: {directory, clock}} = fleetOf(29);
		const [first, second] = fleet.homes(endpoint('i-1', 'b')).map(({name}) => name);
		directory.reportReachability(first, false);
		const later = fleet.homes(endpoint('i-1', 'b')).map(({name}) => name);
		expect([later.includes(first), later[0]]).toEqual([false, second]);
		await clock.advance(peeringDefaults.passOverMs + 250);
		expect(fleet.homes(endpoint('i-1', 'b')).map(({name}) => name)).toEqual([first, second]);
	});

	it('takes a zone for cut off once four of its nodes did not answer', () => {
		const {fleet, peering: {directory}} = fleetOf(29);
		for (let tries = 0; tries < peeringDefaults.homeCandidates; tries++) {
			const [home] = fleet.homes(endpoint('i-1', 'b'));
			expect(home.availabilityZone).toEqual('b');
			directory.reportReachability(home.name, false);
		}

		expect(fleet.homes(endpoint('i-1', 'b')).every(({availabilityZone}) => availabilityZone !== 'b')).toEqual(true);
	});

	it('chooses homes in other zones if the zone of an endpoint has no node', () => {
		const {fleet} = fleetOf(29);
		expect(fleet.homes(endpoint('i-1', 'elsewhere')).length).toEqual(2);
	});

	it('spreads endpoints over the nodes of a zone', () => {
		const {fleet} = fleetOf(89);
		const homes = Array.from({length: 300}, (_, index) => fleet.homes(endpoint(`i-${index}`, 'b'))).flat().map(({name}) => name);
		const counts = [...new Set(homes)].map(name => homes.filter(home => home === name).length);
		expect([counts.length, Math.max(...counts) < 2 * homes.length / counts.length]).toEqual([30, true]);
	});

	it('has one coordinator in each zone promote and be asked for opinions', () => {
		const {fleet} = fleetOf(29);
		expect(fleet.promotionCandidates().map(({availabilityZone}) => availabilityZone).toSorted((a, b) => a.localeCompare(b))).toEqual(['a', 'b', 'c']);
		expect(fleet.observers().some(({name}) => name === 'n0')).toEqual(false);
		expect(fleet.coordinator().availabilityZone).toEqual('a');
	});

	it('lets no node poll endpoints before its discovery is done', () => {
		const {fleet} = fleetOf(0);
		expect([fleet.isCoordinator, fleet.isCoordinatorOnly]).toEqual([false, true]);
	});

	it('ranks the holders of an organisation\'s budget alike whether or not a node is reachable', () => {
		const {fleet, peering: {directory}} = fleetOf(29);
		const before = fleet.usageHolders('shop').map(({name}) => name);
		expect(before.length).toEqual(10);
		directory.reportReachability(before.find(name => name !== 'n0')!, false);
		expect(fleet.usageHolders('shop').map(({name}) => name)).toEqual(before);
	});

	it('finds one reachable holder in each other zone, for loans', () => {
		const {fleet, peering: {directory}} = fleetOf(29);
		const elsewhere = fleet.usageHoldersInOtherZones('shop');
		expect(elsewhere.map(({availabilityZone}) => availabilityZone).toSorted()).toEqual(['b', 'c']);
		directory.reportReachability(elsewhere[0].name, false);
		expect(fleet.usageHoldersInOtherZones('shop').some(({name}) => name === elsewhere[0].name)).toEqual(false);
	});

	it('asks the coordinator and then its successors for followed tables', () => {
		const {fleet} = fleetOf(29);
		const candidates = fleet.rowAskers(3);
		expect([candidates.length, candidates[0].name]).toEqual([3, fleet.coordinator().name]);
		expect(candidates.every(({availabilityZone}) => availabilityZone === 'a')).toEqual(true);
	});
});
