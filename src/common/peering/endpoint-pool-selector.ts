/**
 * Selects the pool over which statements reach an endpoint: this node's own connections, or those of
 * a home of the endpoint.
 */
import type {Either} from 'purify-ts';
import {AnswerTimes} from '../pools/answer-times.js';
import type {PoolOptions} from '../pools/constants.js';
import {hashText, highestWeight} from '../membership/rendezvous.js';
import type {PoolSet} from '../pools/pool-set.js';
import type {ReportedStatus, StatementFault, StatementPool} from '../pools/types.js';
import type {PeerNode, RegisteredEndpoint} from '../services/services.js';
import type {Fleet} from './fleet.js';
import type {PeerDirectory} from './peer-directory.js';
import {RemotePool} from './remote-pool.js';
import type {PeeringServices} from './types.js';

type SelectorServices = PeeringServices & {
	readonly directory: PeerDirectory;
	readonly fleet: Fleet;
	readonly pools: PoolSet;
	readonly poolOptions: PoolOptions;
	/** Whether statements are placed by the load reports of homes. */
	readonly usesLoadReports: boolean;
};

/** Selects endpoint pools. */
export class EndpointPoolSelector {
	private readonly _services: SelectorServices;
	/** Pools over homes, by endpoint, node and incarnation. */
	private readonly _remotePools = new Map<string, RemotePool>();

	constructor(services: SelectorServices) {
		this._services = services;
	}

	/**
	 * The pool for an endpoint's statements of an organisation at this moment. All statements of one
	 * organisation go to the same home, since connections belong to an organisation and the home keeps
	 * them for it.
	 */
	pool(endpoint: RegisteredEndpoint, organisation: string | undefined): StatementPool {
		const {fleet, pools} = this._services;
		const homes = fleet.homes(endpoint);
		if (homes.length === 0 || this._isSelfAmong(homes)) {
			return pools.pool(endpoint);
		}

		const candidates = homes.map(home => this._remotePool(endpoint, home));
		const usable = candidates.filter(({isAvoided}) => !isAvoided);
		if (organisation !== undefined && usable.length > 0) {
			return highestWeight(usable.map(pool => ({name: pool.via, hash: hashText(pool.via), value: pool})), `${organisation} ${endpoint.id}`)!;
		}

		const [first, ...others] = usable.length > 0 ? usable : candidates;
		let best = first;
		for (const pool of others) {
			best = pool.load < best.load ? pool : best;
		}

		return best;
	}

	/** Requests the status of an endpoint, over its first home if this node is none of its homes. */
	async status(endpoint: RegisteredEndpoint, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>> {
		const {fleet, pools, calls} = this._services;
		const homes = fleet.homes(endpoint);
		return homes.length === 0 || this._isSelfAmong(homes)
			? pools.pool(endpoint).control({kind: 'status'}, timeoutMs)
			: calls.status(homes[0], endpoint.id, timeoutMs);
	}

	private _isSelfAmong(nodes: readonly PeerNode[]): boolean {
		return nodes.some(({name}) => name === this._services.self.name);
	}

	private _remotePool(endpoint: RegisteredEndpoint, home: PeerNode): RemotePool {
		const {
			clock, calls, directory, poolOptions, options, usesLoadReports,
		} = this._services;
		const key = `${endpoint.id} ${home.name} ${home.incarnation}`;
		const known = this._remotePools.get(key);
		if (known?.endpoint === endpoint) {
			return known;
		}

		const remote = new RemotePool({
			endpoint,
			calls,
			clock,
			peer: home,
			times: new AnswerTimes(clock, poolOptions),
			usesLoadReports,
			avoidMs: options.homeAvoidMs,
			onPeerLost() {
				directory.reportReachability(home.name, false);
			},
		});
		this._remotePools.set(key, remote);
		return remote;
	}
}
