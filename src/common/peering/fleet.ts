/**
 * Division of work among nodes once they are too many for each to connect to every endpoint: a few
 * homes hold the connections to an endpoint, and one coordinator in each zone polls endpoints for
 * the other nodes.
 *
 * Every node computes the division by itself from the nodes that it knows. Where two nodes disagree,
 * that costs connections or one more hop, never a wrong answer: endpoints limit the connections that
 * all nodes open together, and a transaction stays on the connection on which it began.
 */
import {hashText, highestWeights} from '../membership/rendezvous.js';
import type {ConnectionRole} from '../pools/types.js';
import type {PeerNode, RegisteredEndpoint} from '../services/services.js';
import {NodeRanking} from './node-ranking.js';
import type {PeerDirectory} from './peer-directory.js';
import type {PeeringServices} from './types.js';

/** Key under which nodes are ranked to choose a coordinator. */
const coordinatorTask = 'proofs';

/** Key under which nodes are ranked to choose the holder of an organisation's budget. */
const usageTask = 'usage';

/** Time for which a choice is cached. It expires because the backoff of an unreachable node ends without an event. */
const choiceTtlMs = 250;

type CachedChoice = {
	readonly nodes: readonly PeerNode[];
	readonly revision: number;
	readonly madeAtMs: number;
};

/** Divides work among the nodes that are known and reachable. */
export class Fleet {
	private readonly _services: PeeringServices;
	private readonly _directory: PeerDirectory;
	private readonly _homes = new Map<string, CachedChoice>();
	private readonly _coordinators = new Map<string, CachedChoice>();
	private _ranking: {readonly nodes: NodeRanking; readonly membershipRevision: number} | undefined;

	constructor(services: PeeringServices, directory: PeerDirectory) {
		this._services = services;
		this._directory = directory;
	}

	/** Whether there are too many nodes for each to connect to every endpoint. */
	get isLarge(): boolean {
		return this._directory.isLarge;
	}

	/** Number of reachable nodes, with this one. */
	get size(): number {
		return this._reachableNodes().length;
	}

	/** Whether no other node of this zone is known. */
	get isAloneInZone(): boolean {
		return this._directory.others().every(({availabilityZone}) => availabilityZone !== this._services.self.availabilityZone);
	}

	/** Whether this node polls endpoints for the nodes that poll it; false until discovery is done. */
	get isCoordinator(): boolean {
		return this._directory.isDiscoveryDone && this.coordinator().name === this._services.self.name;
	}

	/** Whether only coordinators may poll endpoints: in a large fleet, and until discovery is done. */
	get isCoordinatorOnly(): boolean {
		return this.isLarge || !this._directory.isDiscoveryDone;
	}

	/** The role in which this node holds connections to an endpoint. */
	connectionRole(endpoint: RegisteredEndpoint): ConnectionRole {
		const homes = this.homes(endpoint);
		if (homes.length === 0) {
			return 'forItself';
		}

		return this.isCoordinator || homes.some(({name}) => name === this._services.self.name) ? 'forAll' : 'forNone';
	}

	/** This node's share of the connections that an endpoint accepts from all nodes; the whole limit in a large fleet. */
	connectionQuota(limit: number): number {
		return this.isLarge ? limit : Math.max(1, Math.floor(limit / this._reachableNodes().length));
	}

	/** The node that polls endpoints for this one. A large zone has its own, so that no node is polled by too many others. */
	coordinator(): PeerNode {
		const {self, options} = this._services;
		const [coordinator] = this._cached(this._coordinators, '', () => {
			const all = this._reachableNodes();
			const inZone = all.filter(({availabilityZone}) => availabilityZone === self.availabilityZone);
			const isShared = inZone.length >= options.zoneSharingFrom;
			if (this.isLarge) {
				return this._firstReachable(isShared ? this._zoneOrder(self.availabilityZone) : this._currentRanking.everywhere(coordinatorTask));
			}

			return highestWeights((isShared ? inZone : all).map(node => ({name: node.name, hash: hashText(node.name), value: node})), coordinatorTask, 1);
		});
		return coordinator ?? self;
	}

	/** The first `count` nodes to ask for followed tables: the coordinator, then its successors in the order of their rank. */
	rowAskers(count: number): readonly PeerNode[] {
		const {self, options} = this._services;
		const order = this._zoneOrder(self.availabilityZone);
		const isShared = order.length >= options.zoneSharingFrom;
		return (isShared ? order : this._currentRanking.everywhere(coordinatorTask)).filter(node => this._isReachable(node)).slice(0, count);
	}

	/** Nodes other than this one whose opinion on a primary counts: all of them, or the zones' coordinators in a large fleet. */
	observers(): readonly PeerNode[] {
		return this.isLarge ? this._zoneCoordinators().filter(({name}) => name !== this._services.self.name) : this._directory.others();
	}

	/** Nodes that may promote for a group: all reachable ones, or the zones' coordinators in a large fleet. */
	promotionCandidates(): readonly PeerNode[] {
		return this.isLarge ? this._zoneCoordinators() : this._reachableNodes();
	}

	/** Nodes that hold connections to an endpoint, the first choice first; empty in a small fleet, where every node does. */
	homes({id, availabilityZone}: RegisteredEndpoint): readonly PeerNode[] {
		if (!this.isLarge) {
			return [];
		}

		return this._cached(this._homes, id, () => {
			const {options} = this._services;
			const homes = this._currentRanking.inZone(availabilityZone, id, options.homeCandidates).filter(node => this._isReachable(node));
			// A zone is treated as cut off if none of its candidates is reachable, since its other nodes would otherwise be tried one by one without success.
			const chosen = homes.length > 0
				? homes
				: this._currentRanking.everywhere(id).filter(node => node.availabilityZone !== availabilityZone && this._isReachable(node));
			return chosen.slice(0, options.homesPerEndpoint);
		});
	}

	/** All nodes of this zone, reachable or not, in the order in which they are to hold an organisation's budget. */
	usageHolders(organisation: string): readonly PeerNode[] {
		return this._zoneOrder(this._services.self.availabilityZone, `${usageTask} ${organisation}`);
	}

	/** The first reachable holder of an organisation's budget in each other zone. */
	usageHoldersInOtherZones(organisation: string): readonly PeerNode[] {
		const {self} = this._services;
		return this._currentRanking.zones
			.filter(zone => zone !== self.availabilityZone)
			.flatMap(zone => this._firstReachable(this._zoneOrder(zone, `${usageTask} ${organisation}`)));
	}

	/** Ranking of all known nodes; cached until a node joins or leaves. */
	private get _currentRanking(): NodeRanking {
		const {self, options} = this._services;
		const {membershipRevision} = this._directory;
		if (this._ranking?.membershipRevision !== membershipRevision) {
			this._ranking = {membershipRevision, nodes: new NodeRanking([self, ...this._directory.others()], options.largeHostShare)};
		}

		return this._ranking.nodes;
	}

	private _zoneCoordinators(): readonly PeerNode[] {
		return this._currentRanking.zones.flatMap(zone => this._firstReachable(this._zoneOrder(zone)));
	}

	private _zoneOrder(zone: string, work = coordinatorTask): readonly PeerNode[] {
		return this._currentRanking.inZone(zone, work, Number.POSITIVE_INFINITY);
	}

	private _firstReachable(nodes: readonly PeerNode[]): readonly PeerNode[] {
		const first = nodes.find(node => this._isReachable(node));
		return first ? [first] : [];
	}

	private _isReachable({name}: PeerNode): boolean {
		return name === this._services.self.name || this._directory.isReachable(name);
	}

	private _reachableNodes(): readonly PeerNode[] {
		return [this._services.self, ...this._directory.reachablePeers()];
	}

	private _cached(choices: Map<string, CachedChoice>, key: string, choose: () => readonly PeerNode[]): readonly PeerNode[] {
		const nowMs = this._services.clock.nowMs();
		const {revision} = this._directory;
		const known = choices.get(key);
		if (known?.revision === revision && nowMs - known.madeAtMs < choiceTtlMs) {
			return known.nodes;
		}

		const nodes = choose();
		choices.set(key, {nodes, revision, madeAtMs: nowMs});
		return nodes;
	}
}
