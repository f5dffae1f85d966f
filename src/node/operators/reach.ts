/**
 * Asks every node which configuration it has in force.
 */
import type {
	Clock, Host, Membership, Peers,
} from '../../common/services/services.js';
import {reachDefaults} from './constants.js';
import type {ChangeReach, NodeReach, ReachSource} from './types.js';

/** What the probes need from the rest of the node. */
export type ReachServices = {
	readonly membership: Pick<Membership, 'self' | 'hosts'>;
	readonly peers: Pick<Peers, 'probe'>;
	readonly clock: Clock;
	/** The configuration in force on this node. */
	readonly version: () => number;
};

/** Probes the nodes, a bounded number at one time; pages that ask together share one round. */
export class ReachProbe implements ReachSource {
	private readonly _services: ReachServices;
	private readonly _options: typeof reachDefaults;
	private _round: Promise<readonly NodeReach[]> | undefined;
	private _roundAtMs = 0;

	constructor(services: ReachServices, options: Partial<typeof reachDefaults> = {}) {
		this._services = services;
		this._options = {...reachDefaults, ...options};
	}

	async nodes(): Promise<readonly NodeReach[]> {
		const nowMs = this._services.clock.nowMs();
		if (this._round === undefined || nowMs - this._roundAtMs >= this._options.keepMs) {
			this._roundAtMs = nowMs;
			this._round = this._probeAll();
		}

		return this._round;
	}

	private async _probeAll(): Promise<readonly NodeReach[]> {
		const {membership, version} = this._services;
		const {self} = membership;
		const others = membership.hosts().filter(host => host.name !== self.name);
		const found: NodeReach[] = [{name: self.name, availabilityZone: self.availabilityZone, version: version()}];
		const rest = others.values();
		const probeNext = async (): Promise<void> => {
			for (const host of rest) {
				found.push(await this._probe(host));
			}
		};

		await Promise.all(Array.from({length: this._options.probesAtOnce}, probeNext));
		return found.toSorted((a, b) => a.name < b.name ? -1 : 1);
	}

	private async _probe(host: Host): Promise<NodeReach> {
		const answer = await this._services.peers.probe(host, this._options.probeTimeoutMs);
		const probe = answer.isRight() ? answer.unsafeCoerce() : undefined;
		return {name: host.name, availabilityZone: host.availabilityZone, version: probe?.configurationVersion};
	}
}

/** On which nodes a change is in force. */
export function reachOf(number: number, nodes: readonly NodeReach[]): ChangeReach {
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
