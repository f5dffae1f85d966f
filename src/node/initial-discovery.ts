/**
 * Makes a starting node known to its zone before it takes endpoints up.
 *
 * Nodes that know different hosts choose different homes, and the host list lags. A link
 * tells both of its ends who the other is, so one probe does for two. Of two nodes that
 * start together, the one whose registration is later finds the other in the list, once
 * the list shows its own registration: so that is what is waited for.
 */
import {withTimeout, WakeableSleep} from '../common/lifecycle/timing.js';
import type {Disposable} from '../common/lifecycle/disposable.js';
import type {
	Clock, Host, HostList, Membership, Peers, Random,
} from '../common/services/services.js';
import {forEachConcurrently} from './for-each-concurrently.js';

/** Defaults of the greeting. */
export const discoveryDefaults = {
	/** Probes in progress at one time. */
	probesAtOnce: 16,
	probeTimeoutMs: 500,
	/** The probes of a round are spread over this time for each host, so 145 hosts take about a second. */
	spreadPerHostMs: 7,
	/** Hosts of each other zone that are met; the others come with the list. */
	hostsPerOtherZone: 2,
	/** First wait for the list to show this host; doubles with each round. */
	firstPauseMs: 200,
	longestPauseMs: 5000,
	/** Rounds after which the ordinary reads of the list have to do. */
	rounds: 8,
	/** Longest time that the start waits for all this; it goes on in the background. */
	startWaitMs: 2000,
};

/** What the greeting uses. */
export type DiscoveryServices = {
	readonly hostList: Pick<HostList, 'read'>;
	readonly membership: Pick<Membership, 'self' | 'learn'>;
	readonly peers: Pick<Peers, 'probe'>;
	readonly clock: Clock;
	readonly random: Random;
};

/** One start's greeting. */
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

	/** Greets; resolves when that is done or has taken as long as the start may wait. */
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

	/** Every host of the own zone and some of each other one, in random order, without those met already. */
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
