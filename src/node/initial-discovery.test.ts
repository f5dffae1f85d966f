import {describe, it} from 'node:test';
import {expect} from 'earl';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../common/errors/error-kinds.js';
import {listedHost} from '../common/membership/testing/hosts.js';
import {SeededRandom} from '../common/random/seeded-random.js';
import type {Host} from '../common/services/services.js';
import {VirtualClock} from '../common/testing/virtual-clock.js';
import {discoveryDefaults, InitialDiscovery} from './initial-discovery.js';

/** Hosts that start and discover each other through one list that lags; a probe makes both ends known to each other. */
class StartingHosts {
	readonly clock = new VirtualClock();
	readonly random = new SeededRandom(7);
	/** Pairs that know each other, as `a-b` in the order of their names. */
	readonly acquainted = new Set<string>();
	readonly silent = new Set<string>();
	isListDown = false;
	probes = 0;
	maximumProbesIn100Ms = 0;
	private readonly _listed: Array<{readonly host: Host; readonly atMs: number}> = [];
	private readonly _probedAtMs: number[] = [];
	private readonly _lagMs: number;

	constructor(lagMs: number) {
		this._lagMs = lagMs;
	}

	list(host: Host): void {
		this._listed.push({host, atMs: this.clock.nowMs()});
	}

	discovery(self: Host): InitialDiscovery {
		const {clock, random} = this;
		return new InitialDiscovery({
			clock,
			random,
			membership: {self, learn: () => undefined},
			hostList: {
				read: async () => this.isListDown
					? Left({kind: 'unavailable', detail: 'down'})
					: Right(this._listed.filter(({atMs}) => atMs <= clock.nowMs() - this._lagMs).map(({host}) => host)),
			},
			peers: {probe: async host => this._probe(self, host)},
		});
	}

	async start(self: Host, delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.clock.setTimer(delayMs, resolve);
		});
		this.list(self);
		await this.discovery(self).run();
	}

	private async _probe(self: Host, host: Host) {
		const nowMs = this.clock.nowMs();
		this.probes++;
		this._probedAtMs.push(nowMs);
		this.maximumProbesIn100Ms = Math.max(this.maximumProbesIn100Ms, this._probedAtMs.filter(atMs => atMs > nowMs - 100).length);
		if (this.silent.has(host.name)) {
			return Left(new Refusal('peerUnavailable'));
		}

		this.acquainted.add([self.name, host.name].toSorted().join('-'));
		return Right({host, configurationVersion: 1});
	}
}

function hostsOf(zone: string, count: number): Host[] {
	return Array.from({length: count}, (_, index) => listedHost(`${zone}${index}`, {availabilityZone: zone}));
}

describe('InitialDiscovery', () => {
	for (const lagMs of [0, 700, 3000]) {
		it(`makes all hosts that start together known to each other while the list lags ${lagMs} ms`, async () => {
			const world = new StartingHosts(lagMs);
			const started = Promise.all(hostsOf('a', 6).map(async (host, index) => world.start(host, (index * 37) % 200)));
			await world.clock.advanceUntil(started);
			await world.clock.advance(20_000);
			expect(world.acquainted.size).toEqual(15);
		});
	}

	it('probes all hosts of a large zone and some of the others, spread over about a second', async () => {
		const world = new StartingHosts(0);
		const [self, ...others] = hostsOf('a', 146);
		for (const host of [...others, ...hostsOf('b', 145), ...hostsOf('c', 145)]) {
			world.list(host);
		}

		const startMs = world.clock.nowMs();
		await world.clock.advanceUntil(world.start(self, 0));
		const tookMs = world.clock.nowMs() - startMs;
		expect(world.probes).toEqual(145 + (2 * discoveryDefaults.hostsPerOtherZone));
		expect([tookMs > 800, tookMs < 1200, world.maximumProbesIn100Ms < 40]).toEqual([true, true, true]);
	});

	it('completes without an answer of the list or of a host, and probes silent hosts again', async () => {
		const world = new StartingHosts(500);
		const [self, other] = hostsOf('a', 2);
		world.isListDown = true;
		world.list(other);
		await world.clock.advanceUntil(world.start(self, 0));
		expect(world.probes).toEqual(0);
		world.isListDown = false;
		world.silent.add(other.name);
		const discovery = world.discovery({...self, incarnation: 'another'});
		await world.clock.advanceUntil(discovery.run());
		expect(world.probes > 1).toEqual(true);
		discovery.dispose();
	});
});
