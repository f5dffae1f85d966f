/**
 * Asks every node which configuration it has in force.
 */
import type {
	Clock, Host, Membership, Peers,
} from '../../common/services/services.js';
import {forEachConcurrently} from '../for-each-concurrently.js';
import {reachDefaults} from './constants.js';
import {CoalescedRefresh} from './coalesced-refresh.js';
import type {ChangeReach, NodeReach, ReachSource} from './types.js';

/** What the probes need from the rest of the node. */
export type ReachServices = {
	readonly membership: Pick<Membership, 'self' | 'hosts'>;
	readonly peers: Pick<Peers, 'probe'>;
	readonly clock: Clock;
	/** The configuration in force on this node. */
	readonly version: () => number;
};

/** Probes the nodes with limited concurrency; pages that ask at the same time share one refresh. */
export class ReachProbe implements ReachSource {
	private readonly _services: ReachServices;
	private readonly _options: typeof reachDefaults;
	private readonly _refresh: CoalescedRefresh;
	private readonly _latest = new Map<string, NodeReach>();

	constructor(services: ReachServices, options: Partial<typeof reachDefaults> = {}) {
		this._services = services;
		this._options = {...reachDefaults, ...options};
		this._refresh = new CoalescedRefresh(services.clock, this._options.keepMs, async () => this._probeAll());
	}

	/** The last answer of each node, also while a refresh is in progress; without nodes that were never probed. */
	get latest(): ReadonlyMap<string, NodeReach> {
		return this._latest;
	}

	async nodes(): Promise<readonly NodeReach[]> {
		await this._refresh.run();
		return [...this._latest.values()].toSorted((a, b) => a.name < b.name ? -1 : 1);
	}

	private async _probeAll(): Promise<void> {
		const {membership, version} = this._services;
		const {self} = membership;
		const others = membership.hosts().filter(host => host.name !== self.name);
		const names = new Set(others.map(({name}) => name));
		for (const name of this._latest.keys()) {
			if (!names.has(name)) {
				this._latest.delete(name);
			}
		}

		this._latest.set(self.name, {name: self.name, availabilityZone: self.availabilityZone, version: version()});
		await forEachConcurrently(others, this._options.probesAtOnce, async host => this._probe(host));
	}

	private async _probe(host: Host): Promise<void> {
		const {name, availabilityZone} = host;
		const answer = await this._services.peers.probe(host, this._options.probeTimeoutMs);
		const version = answer.map(({configurationVersion}) => configurationVersion).toMaybe().extract();
		this._latest.set(name, {name, availabilityZone, version});
	}
}

/** On which nodes a change is in force. */
export function summariseReach(number: number, nodes: readonly NodeReach[]): ChangeReach {
	const inForce = nodes.filter(({version}) => version !== undefined && version >= number);
	return {
		number,
		nodeCount: nodes.length,
		inForceCount: inForce.length,
		isEverywhere: inForce.length === nodes.length,
		lagging: nodes.filter(({version}) => version !== undefined && version < number),
		cutOff: nodes.filter(({version}) => version === undefined),
	};
}
