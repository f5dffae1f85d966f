import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SeededRandom} from '../random/seeded-random.js';
import {hashText, highestWeight, type Candidate} from './rendezvous.js';

function candidates(names: readonly string[]): Array<Candidate<string>> {
	return names.map(name => ({name, hash: hashText(name), value: name}));
}

function names(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}

const endpoints = names('group-7/endpoint', 20_000);

function homes(hosts: readonly string[]): Array<string | undefined> {
	const ranked = candidates(hosts);
	return endpoints.map(endpoint => highestWeight(ranked, endpoint));
}

describe('highestWeight', () => {
	for (const hostCount of [2, 8, 217]) {
		it(`spreads endpoints evenly over ${hostCount} hosts`, () => {
			const counts = new Map<string | undefined, number>();
			for (const home of homes(names('host', hostCount))) {
				counts.set(home, (counts.get(home) ?? 0) + 1);
			}

			// Five standard deviations of an even spread.
			const fair = endpoints.length / hostCount;
			const bound = 5 * Math.sqrt(fair);
			expect(counts.size).toEqual(hostCount);
			expect([...counts.values()].filter(count => Math.abs(count - fair) > bound)).toEqual([]);
		});
	}

	it('does not depend on the order of the hosts', () => {
		const random = new SeededRandom(7);
		const hosts = names('host', 30);
		const shuffled = hosts.toSorted(() => random.next() - 0.5);
		expect(homes(shuffled)).toEqual(homes(hosts));
	});

	it('moves only the endpoints of a host that is removed', () => {
		const hosts = names('host', 40);
		const before = homes(hosts);
		const after = homes(hosts.filter(host => host !== 'host-13'));
		const moved = endpoints.filter((_, index) => before[index] !== after[index]);
		expect(moved).toEqual(endpoints.filter((_, index) => before[index] === 'host-13'));
	});

	it('moves about two in N endpoints when one of N hosts is replaced', () => {
		const hosts = names('host', 40);
		const before = homes(hosts);
		const after = homes(hosts.map(host => (host === 'host-13' ? 'host-new' : host)));
		const share = before.filter((home, index) => home !== after[index]).length / endpoints.length;
		expect(share > 0.04 && share < 0.06).toEqual(true);
	});
});
