/**
 * Makes a starting node known to the nodes of its zone before it becomes the home of endpoints.
 *
 * Nodes that know different hosts choose different homes, and the host list lags. A link
 * identifies each end to the other, so one probe makes two nodes known to each other. Of two
 * nodes that start together, the one that registers later finds the other in the list once the
 * list shows its own registration; so discovery goes on until the list shows this node.
 */
import {withTimeout, WakeableSleep} from '../common/lifecycle/timing.js';
import type {Disposable} from '../common/lifecycle/disposable.js';
import type {
	Clock, Host, HostList, Membership, Peers, Random,
} from '../common/services/services.js';
import {forEachConcurrently} from './for-each-concurrently.js';

/** Defaults of the initial discovery. */
export const discoveryDefaults = {
	/** Maximum number of concurrent probes. */
	probesAtOnce: 16,
	probeTimeoutMs: 500,
	/** The probes of a round are spread over this time multiplied by the number of hosts, so 145 hosts take about a second. */
	spreadPerHostMs: 7,
	/** Number of hosts that are probed in each other zone; later reads of the list provide the rest. */
	hostsPerOtherZone: 2,
	/** Pause after the first round while the list does not show this host; doubles with each round. */
	firstPauseMs: 200,
	longestPauseMs: 5000,
	/** Maximum number of rounds; after them, the periodic reads of the list have to suffice. */
	rounds: 8,
	/** Maximum time that the start waits for discovery, which then continues in the background. */
	startWaitMs: 2000,
};

/** Services that the initial discovery uses. */
export type DiscoveryServices = {
	readonly hostList: Pick<HostList, 'read'>;
	readonly membership: Pick<Membership, 'self' | 'learn'>;
	readonly peers: Pick<Peers, 'probe'>;
	readonly clock: Clock;
	readonly random: Random;
};

/** The initial discovery of one process start. */
export class InitialDiscovery implements Disposable {
	private readonly _services: DiscoveryServices;
	private readonly _options: typeof discoveryDefaults;
	private readonly _sleep: WakeableSleep;
	/** Incarnations that answered, by the name of their host. */
	private readonly _discovered = new Map<string, string>();
	private _isDisposed = false;

	constructor(services: DiscoveryServices, options: Partial<typeof discoveryDefaults> = {}) {
		this._services = services;
		this._options = {...discoveryDefaults, ...options};
		this._sleep = new WakeableSleep(services.clock);
	}

	/** Runs the discovery; resolves when it is done, or after `startWaitMs` while it continues. */
	async run(): Promise<void> {
		await withTimeout(this._services.clock, this._discover(), this._options.startWaitMs);
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	private async _discover(): Promise<void> {
		const {firstPauseMs, longestPauseMs, rounds} = this._options;
		for (let round = 0; round < rounds && !this._isDisposed; round++) {
			const listed = await this._services.hostList.read();
			const hosts = listed.orDefault([]);
			await this._probeAll(this._hostsToProbe(hosts));
			const {name, incarnation} = this._services.membership.self;
			if (hosts.some(host => host.name === name && host.incarnation === incarnation)) {
				return;
			}

			await this._sleep.wait(Math.min(longestPauseMs, firstPauseMs * (2 ** round)) * (0.75 + (this._services.random.next() / 2)));
		}
	}

	/** Every host of the own zone and some of each other zone, in random order, without those already discovered. */
	private _hostsToProbe(hosts: readonly Host[]): readonly Host[] {
		const {random, membership: {self}} = this._services;
		const undiscovered = hosts
			.filter(({name, incarnation}) => name !== self.name && this._discovered.get(name) !== incarnation)
			.map(host => ({host, rank: random.next()}))
			.toSorted((a, b) => a.rank - b.rank)
			.map(({host}) => host);
		const counts = new Map<string, number>();
		return undiscovered.filter(({availabilityZone}) => {
			const count = (counts.get(availabilityZone) ?? 0) + 1;
			counts.set(availabilityZone, count);
			return availabilityZone === self.availabilityZone || count <= this._options.hostsPerOtherZone;
		});
	}

	private async _probeAll(hosts: readonly Host[]): Promise<void> {
		const {clock, random} = this._services;
		const {spreadPerHostMs, probesAtOnce} = this._options;
		const startMs = clock.nowMs();
		const due = hosts
			.map(host => ({host, atMs: startMs + (random.next() * spreadPerHostMs * hosts.length)}))
			.toSorted((a, b) => a.atMs - b.atMs);
		await forEachConcurrently(due, probesAtOnce, async ({host, atMs}) => {
			await new WakeableSleep(clock).wait(atMs - clock.nowMs());
			if (!this._isDisposed) {
				await this._probe(host);
			}
		});
	}

	private async _probe(host: Host): Promise<void> {
		const answer = await this._services.peers.probe(host, this._options.probeTimeoutMs);
		answer.ifRight(({host: answering}) => {
			this._discovered.set(answering.name, answering.incarnation);
			this._services.membership.learn(answering);
		});
	}
}
