/**
 * The order in which nodes forward a new configuration version, computed by each without coordination.
 */
import type {Host, Random} from '../services/services.js';
import {fanOutDegree} from './constants.js';
import {hashText, weight} from './rendezvous.js';

/**
 * Hosts of a zone as a tree in one array: the children of index `i` are at the indexes `8i + 1` to
 * `8i + 8`. Each version has its own order, so that a failed host does not cut off the same others
 * every time. Hosts that are leaving come last.
 */
export function fanOutOrder(hosts: readonly Host[], availabilityZone: string, version: number): readonly Host[] {
	const versionHash = hashText(String(version));
	return hosts
		.filter(host => host.availabilityZone === availabilityZone)
		.map(host => ({host, rank: weight(versionHash, hashText(host.name))}))
		.toSorted((a, b) => Number(a.host.isLeaving) - Number(b.host.isLeaving) || a.rank - b.rank || (a.host.name < b.host.name ? -1 : 1))
		.map(({host}) => host);
}

/** Hosts of its own zone to which a node forwards a version; at most eight. */
export function childrenOf(hosts: readonly Host[], self: Host, version: number): readonly Host[] {
	const order = fanOutOrder(hosts, self.availabilityZone, version);
	const index = order.findIndex(host => host.name === self.name);
	return index === -1 ? [] : order.slice((index * fanOutDegree) + 1, ((index + 1) * fanOutDegree) + 1);
}

/** The host of each zone to which a version is sent first. */
export function rootsOf(hosts: readonly Host[], version: number): readonly Host[] {
	const zones = [...new Set(hosts.map(host => host.availabilityZone))].toSorted();
	return zones.flatMap(zone => fanOutOrder(hosts, zone, version).slice(0, 1));
}

/** A random other host, for the exchange that finds what an announcement missed; undefined if there is none. */
export function randomPeer(hosts: readonly Host[], selfName: string, random: Random): Host | undefined {
	const others = hosts.filter(host => host.name !== selfName);
	return others[Math.floor(random.next() * others.length)];
}
