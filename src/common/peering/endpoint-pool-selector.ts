/**
 * Selects the pool over which statements reach an endpoint: this node's own connections, or those of
 * a home of the endpoint.
 */
import type {Either} from 'purify-ts';
import {AnswerTimes} from '../pools/answer-times.js';
import type {PoolOptions} from '../pools/constants.js';
import {EndpointExperience} from '../load/endpoint-experience.js';
import {joinKey} from '../join-key.js';
import {choosePlacement} from '../load/placement-choice.js';
import {hashText, highestWeight} from '../membership/rendezvous.js';
import type {PoolSet} from '../pools/pool-set.js';
import type {ReportedStatus, StatementFault, StatementPool} from '../pools/types.js';
import type {PeerNode, RegisteredEndpoint} from '../services/services.js';
import {EndpointStandings} from './endpoint-standings.js';
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

/** What the pools over the homes of an endpoint share. */
type SharedExperience = {
	readonly endpoint: RegisteredEndpoint;
	readonly times: AnswerTimes;
	readonly experience: EndpointExperience;
};

/** Priority class by which homes are compared; it waits for all others, so that whole queues are compared. */
const comparedClass = Number.MAX_SAFE_INTEGER;

/** Selects endpoint pools. */
export class EndpointPoolSelector {
	private readonly _services: SelectorServices;
	/** Undefined if statements are not placed by load reports. */
	private readonly _standings: EndpointStandings | undefined;
	/** Experience with endpoints, which the pools over their homes share with load reports. */
	private readonly _experiences = new Map<string, SharedExperience>();
	/** Pools over homes, by endpoint, node and incarnation. */
	private readonly _remotePools = new Map<string, RemotePool>();

	constructor(services: SelectorServices) {
		this._services = services;
		this._standings = services.usesLoadReports ? new EndpointStandings(services) : undefined;
	}

	/**
	 * The pool for an endpoint's statements of an organisation at this moment. All statements of one
	 * organisation go to the same home, since connections belong to an organisation and the home keeps
	 * them for it. With load reports, they leave it for a home that is faster by more than a new
	 * connection costs.
	 */
	pool(endpoint: RegisteredEndpoint, organisation: string | undefined): StatementPool {
		const {fleet, pools} = this._services;
		const homes = fleet.homes(endpoint);
		if (homes.length === 0 || this._isSelfAmong(homes)) {
			return pools.pool(endpoint);
		}

		const candidates = homes.map(home => this._remotePool(endpoint, home));
		const usable = candidates.filter(({isAvoided}) => !isAvoided);
		const preferred = organisation !== undefined && usable.length > 0
			? highestWeight(usable.map(pool => ({name: pool.via, hash: hashText(pool.via), value: pool})), `${organisation} ${endpoint.id}`)
			: undefined;
		if (this._standings) {
			return this._fastest(usable.length > 0 ? usable : candidates, preferred);
		}

		if (preferred) {
			return preferred;
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

	private _fastest(pools: readonly RemotePool[], preferred: RemotePool | undefined): RemotePool {
		const {random, options} = this._services;
		return choosePlacement(
			// Both homes are needed to keep the slots of an endpoint in use, so this node's own statements are spread over them.
			pools.map(pool => ({value: pool, costMs: pool.estimateMs('read', comparedClass) * (1 + pool.load)})),
			() => random.next(),
			preferred && {value: preferred, leavingCostMs: options.otherHomeMs},
		) ?? pools[0];
	}

	private _isSelfAmong(nodes: readonly PeerNode[]): boolean {
		return nodes.some(({name}) => name === this._services.self.name);
	}

	/** Experience with an endpoint since its registration last changed. */
	private _sharedExperience(endpoint: RegisteredEndpoint): SharedExperience {
		const known = this._experiences.get(endpoint.id);
		if (known?.endpoint === endpoint) {
			return known;
		}

		const {clock, poolOptions} = this._services;
		const shared = {endpoint, times: new AnswerTimes(clock, poolOptions), experience: new EndpointExperience()};
		this._experiences.set(endpoint.id, shared);
		return shared;
	}

	private _remotePool(endpoint: RegisteredEndpoint, home: PeerNode): RemotePool {
		const {clock, calls, directory, poolOptions, options} = this._services;
		const key = joinKey(endpoint.id, home.name, home.incarnation);
		const known = this._remotePools.get(key);
		if (known?.endpoint === endpoint) {
			return known;
		}

		const shared = this._services.usesLoadReports ? this._sharedExperience(endpoint) : undefined;
		const remote = new RemotePool({
			endpoint,
			calls,
			clock,
			peer: home,
			times: shared?.times ?? new AnswerTimes(clock, poolOptions),
			experience: shared?.experience,
			standings: this._standings,
			avoidMs: options.homeAvoidMs,
			onPeerLost() {
				directory.reportReachability(home.name, false);
			},
		});
		this._remotePools.set(key, remote);
		return remote;
	}
}
