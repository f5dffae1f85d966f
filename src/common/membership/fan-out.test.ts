import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SeededRandom} from '../random/seeded-random.js';
import {
	childrenOf, fanOutOrder, randomPeer, rootsOf,
} from './fan-out.js';
import {listedHost} from './testing/hosts.js';

const zones = ['a', 'b', 'c', 'd'];
const hosts = Array.from({length: 300}, (_, index) => listedHost(`host-${index}`, {availabilityZone: zones[index % 4]}));

/** Number of hops from a root to each host, by name. */
function spread(version: number): Map<string, number> {
	const reached = new Map(rootsOf(hosts, version).map(host => [host.name, 0]));
	let frontier = [...rootsOf(hosts, version)];
	for (let hop = 1; frontier.length > 0; hop++) {
		frontier = frontier.flatMap(host => childrenOf(hosts, host, version));
		for (const host of frontier) {
			expect(reached.has(host.name)).toEqual(false);
			reached.set(host.name, hop);
		}
	}

	return reached;
}

describe('fan-out', () => {
	it('reaches every host once, within a few hops', () => {
		const reached = spread(17);
		expect([reached.size, Math.max(...reached.values())]).toEqual([300, 3]);
	});

	it('has at most eight children a host, in its own zone', () => {
		for (const host of hosts) {
			const children = childrenOf(hosts, host, 17);
			expect(children.length <= 8).toEqual(true);
			expect(children.every(child => child.availabilityZone === host.availabilityZone)).toEqual(true);
		}
	});

	it('has one root in each zone, and different roots for different versions', () => {
		expect(rootsOf(hosts, 17).map(host => host.availabilityZone)).toEqual(zones);
		const roots = new Set(Array.from({length: 20}, (_, version) => rootsOf(hosts, version)[0].name));
		expect(roots.size > 10).toEqual(true);
	});

	it('puts hosts that are leaving last', () => {
		const withLeaving = hosts.map(host => (host.name === 'host-4' ? {...host, isLeaving: true} : host));
		expect(fanOutOrder(withLeaving, 'a', 17).at(-1)?.name).toEqual('host-4');
	});

	it('finds another host at random', () => {
		const random = new SeededRandom(3);
		const found = new Set(Array.from({length: 200}, () => randomPeer(hosts.slice(0, 5), 'host-2', random)?.name));
		expect([...found].toSorted((a, b) => String(a).localeCompare(String(b)))).toEqual(['host-0', 'host-1', 'host-3', 'host-4']);
		expect(randomPeer(hosts.slice(0, 1), 'host-0', random)).toEqual(undefined);
	});
});
