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

/** A fleet of `n0` and so many others, in zones a, b and c by turns. */
function fleetOf(others: number): {fleet: Fleet; peering: ReturnType<typeof fakePeering>} {
	const peering = fakePeering();
	for (let index = 1; index <= others; index++) {
		peering.directory.learn(peerNode(`n${index}`, 'abc'[index % 3]));
	}

	return {fleet: new Fleet(peering, peering.directory), peering};
}

describe('Fleet', () => {
	it('leaves connections to every node while there are few', () => {
		const {fleet} = fleetOf(peeringDefaults.homesFrom - 2);
		expect(fleet.isLarge).toEqual(false);
		expect(fleet.homes(endpoint('i-1', 'a'))).toEqual([]);
		expect(fleet.holding(endpoint('i-1', 'a'))).toEqual('forItself');
	});

	it('chooses two homes of the endpoint\'s zone, the same whoever asks', () => {
		const {fleet} = fleetOf(29);
		const other = fakePeering();
		for (let index = 29; index >= 1; index--) {
			other.directory.learn(peerNode(`n${index}`, 'abc'[index % 3]));
		}

		const homes = fleet.homes(endpoint('i-1', 'b'));
		expect(homes.map(({availabilityZone}) => availabilityZone)).toEqual(['b', 'b']);
		expect(new Fleet(other, other.directory).homes(endpoint('i-1', 'b')).map(({name}) => name)).toEqual(homes.map(({name}) => name));
	});

	it('replaces only the home that does not answer, and takes it back later', async () => {
		const {fleet, peering: {directory, clock}} = fleetOf(29);
		const [first, second] = fleet.homes(endpoint('i-1', 'b')).map(({name}) => name);
		directory.reportReachability(first, false);
		const later = fleet.homes(endpoint('i-1', 'b')).map(({name}) => name);
		expect([later.includes(first), later[0]]).toEqual([false, second]);
		await clock.advance(peeringDefaults.passOverMs + 250);
		expect(fleet.homes(endpoint('i-1', 'b')).map(({name}) => name)).toEqual([first, second]);
	});

	it('gives a zone up as cut off once four of its nodes did not answer', () => {
		const {fleet, peering: {directory}} = fleetOf(29);
		for (let tries = 0; tries < peeringDefaults.homeCandidates; tries++) {
			const [home] = fleet.homes(endpoint('i-1', 'b'));
			expect(home.availabilityZone).toEqual('b');
			directory.reportReachability(home.name, false);
		}

		expect(fleet.homes(endpoint('i-1', 'b')).every(({availabilityZone}) => availabilityZone !== 'b')).toEqual(true);
	});

	it('chooses homes elsewhere where the zone of an endpoint has no node', () => {
		const {fleet} = fleetOf(29);
		expect(fleet.homes(endpoint('i-1', 'elsewhere')).length).toEqual(2);
	});

	it('spreads endpoints over the nodes of a zone', () => {
		const {fleet} = fleetOf(89);
		const homes = Array.from({length: 300}, (_, index) => fleet.homes(endpoint(`i-${index}`, 'b'))).flat().map(({name}) => name);
		const counts = [...new Set(homes)].map(name => homes.filter(home => home === name).length);
		expect([counts.length, Math.max(...counts) < 2 * homes.length / counts.length]).toEqual([30, true]);
	});

	it('has one asker in each zone act and be asked', () => {
		const {fleet} = fleetOf(29);
		expect(fleet.promotionCandidates().map(({availabilityZone}) => availabilityZone).toSorted((a, b) => a.localeCompare(b))).toEqual(['a', 'b', 'c']);
		expect(fleet.observers().some(({name}) => name === 'n0')).toEqual(false);
		expect(fleet.coordinator().availabilityZone).toEqual('a');
	});

	it('lets nobody ask who has not looked for others yet', () => {
		const {fleet} = fleetOf(0);
		expect([fleet.isCoordinator, fleet.isCoordinatorOnly]).toEqual([false, true]);
	});

	it('names the same node of a zone for an organisation\'s budget, whoever of the zone asks and whoever answers', () => {
		const {fleet, peering: {directory}} = fleetOf(29);
		const before = fleet.usageHolders('shop').map(({name}) => name);
		expect(before.length).toEqual(10);
		directory.reportReachability(before.find(name => name !== 'n0')!, false);
		expect(fleet.usageHolders('shop').map(({name}) => name)).toEqual(before);
	});

	it('names one node of each other zone that answers, for loans', () => {
		const {fleet, peering: {directory}} = fleetOf(29);
		const elsewhere = fleet.usageHoldersInOtherZones('shop');
		expect(elsewhere.map(({availabilityZone}) => availabilityZone).toSorted()).toEqual(['b', 'c']);
		directory.reportReachability(elsewhere[0].name, false);
		expect(fleet.usageHoldersInOtherZones('shop').some(({name}) => name === elsewhere[0].name)).toEqual(false);
	});

	it('has those follow tables first who would be asker next', () => {
		const {fleet} = fleetOf(29);
		const askers = fleet.rowAskers(3);
		expect([askers.length, askers[0].name]).toEqual([3, fleet.coordinator().name]);
		expect(askers.every(({availabilityZone}) => availabilityZone === 'a')).toEqual(true);
	});
});
