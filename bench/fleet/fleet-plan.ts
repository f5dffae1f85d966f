/**
 * Plans the hosts and groups of a fleet, and finds which groups the measured node serves.
 */
import type {Operation} from '../../src/common/configuration/schema.js';
import {HomeMap} from '../../src/common/membership/home-map.js';
import type {Host} from '../../src/common/services/services.js';
import {fleetZones, instancesPerGroup, subjectName} from './constants.js';
import type {FleetEndpoint, FleetHost, Scenario} from './types.js';

/** A unique address for an endpoint to which nothing connects here. */
function unusedAddress(index: number): {readonly host: string; readonly port: number} {
	return {host: `127.1.${Math.floor(index / addressesPerRange)}.${1 + (index % addressesPerRange)}`, port: 9};
}

const addressesPerRange = 250;

function locationOf(zone: number): Pick<FleetHost, 'availabilityZone' | 'region'> {
	return {availabilityZone: `zone-${zone}`, region: `region-${zone % fleetZones.regions}`};
}

/** Plans the hosts of a fleet; the first is the measured node. */
export function planHosts({hosts}: Scenario): FleetHost[] {
	return Array.from({length: hosts}, (_item, index) => ({
		name: index === 0 ? subjectName : `host-${index}`,
		...locationOf(index % fleetZones.zones),
	}));
}

/** Plans the endpoints of a fleet with unused addresses, and finds the groups and the number of endpoints that the measured node serves. */
export function planEndpoints(scenario: Scenario, hosts: readonly FleetHost[]): {endpoints: FleetEndpoint[]; servedGroups: string[]; servedCount: number} {
	const homes = new HomeMap(hosts.map(host => hostOf(host)), () => undefined, 1);
	const endpoints: FleetEndpoint[] = [];
	const servedGroups = new Set<string>();
	let servedCount = 0;
	for (let group = 0; group < scenario.groups; group++) {
		for (let instance = 0; instance < instancesPerGroup; instance++) {
			const zone = ((scenario.areGroupsNear ? 0 : group) + instance) % fleetZones.zones;
			const endpoint = {
				name: `group-${group}-${instance}`, group: `group-${group}`, availabilityZone: locationOf(zone).availabilityZone, ...unusedAddress(endpoints.length),
			};
			endpoints.push(endpoint);
			if (homes.homeOf(endpoint)?.name === subjectName) {
				servedGroups.add(endpoint.group);
				servedCount++;
			}
		}
	}

	return {endpoints, servedGroups: [...servedGroups], servedCount};
}

/** Operations that configure the endpoints and their groups. */
export function operationsFor(endpoints: readonly FleetEndpoint[]): Operation[] {
	const operations: Operation[] = [{op: 'put', kind: 'service', value: {name: 'fleet', labels: {}}}];
	const groups = new Set<string>();
	for (const endpoint of endpoints) {
		if (!groups.has(endpoint.group)) {
			groups.add(endpoint.group);
			operations.push({op: 'put', kind: 'group', value: {service: 'fleet', name: endpoint.group, labels: {}}});
		}

		operations.push({
			op: 'put',
			kind: 'endpoint',
			value: {
				...endpoint, slots: 3, connections: 20, labels: {},
			},
		});
	}

	return operations;
}

/** A host of the fleet as the host list describes it, with the address given. */
export function hostOf(host: FleetHost, address?: {readonly peerHost: string; readonly peerPort: number}): Host {
	return {
		...host, peerHost: '', peerPort: 0, ...address, operatorPort: 1, isLeaving: false, incarnation: '0',
	};
}
