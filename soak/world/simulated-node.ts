/**
 * One node of the world: the product's own core with the world's time, network and platform.
 */
import {AuditTrail} from '../../src/common/audit/audit-trail.js';
import {TermRecords} from '../../src/common/groups/term-record.js';
import {NodeCore, type NodeOptions} from '../../src/common/node-core.js';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import type {
	EndpointConnector, HomeExecutor, Host, Invariants, Log, Metrics, Table,
} from '../../src/common/services/services.js';
import {PgEndpointConnector} from '../../src/node/endpoints/pg-endpoint-connector.js';
import type {Dial} from '../../src/node/endpoints/types.js';
import {InitialDiscovery} from '../../src/node/initial-discovery.js';
import type {PlatformClient} from '../../standins/platform/memory-platform.js';
import type {SimulatedNetwork} from './simulated-network.js';
import {platformFor} from './process-platform.js';
import {SimulatedPeers, type FindPeer, type PeerEnd} from './simulated-peers.js';
import {type SimulatedProcess} from './simulated-process.js';

/** What a node of the world is made with. */
export type NodePlan = {
	readonly host: Host;
	readonly seed: number;
	readonly options: NodeOptions;
	readonly adjustments: NodeAdjustments;
};

/** Changes to the parts of every node, for tests that break one on purpose. */
export type NodeAdjustments = {
	readonly connector?: (connector: EndpointConnector) => EndpointConnector;
	readonly table?: (table: Table) => Table;
	/** Applies to what executes on peers. */
	readonly remoteExecutor?: (executor: HomeExecutor) => HomeExecutor;
	/** Called with each node before it starts. */
	readonly node?: (node: SimulatedNode) => void;
};

/** What the world lends to its nodes. */
export type NodeSurroundings = {
	readonly network: SimulatedNetwork;
	readonly platform: PlatformClient;
	readonly invariants: Invariants;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly dial: (process: SimulatedProcess) => Dial;
	readonly findPeer: FindPeer;
};

/** A node while its process lives. */
export class SimulatedNode implements PeerEnd {
	readonly process: SimulatedProcess;
	readonly host: SimulatedProcess;
	readonly platform: PlatformClient;
	readonly incarnation: string;
	readonly core: NodeCore;
	/** Requests of callers that it has not answered yet. */
	inProgressCount = 0;
	/** Requests and transactions of callers that are not over yet. */
	sessionCount = 0;
	/** Requests of peers that are in progress here. */
	servedCount = 0;
	isDraining = false;
	isClosing = false;
	private readonly _greeting: InitialDiscovery;
	private _sessionCount = 0;

	constructor(plan: NodePlan, process: SimulatedProcess, host: SimulatedProcess, surroundings: NodeSurroundings) {
		this.process = process;
		this.host = host;
		this.platform = surroundings.platform;
		this.incarnation = plan.host.incarnation;
		const random = new SeededRandom(plan.seed);
		const {adjustments} = plan;
		const plainConnector = new PgEndpointConnector(process, {
			user: 'proxy', password: '', dial: surroundings.dial(process),
		});
		const connector = adjustments.connector?.(plainConnector) ?? plainConnector;
		const {metrics, invariants, network, findPeer} = surroundings;
		const log: Log = {
			event(name, fields) {
				surroundings.log.event(name, {node: process.name, ...fields});
			},
		};
		const platform = platformFor(process, surroundings.platform);
		const {objects, hostList} = platform;
		const table = adjustments.table?.(platform.table) ?? platform.table;
		const services = {
			clock: process, random, log, metrics, invariants, connector, table, objects, hostList,
		};
		this.core = new NodeCore(plan.host, {
			...services,
			audit: new AuditTrail(services, `${plan.host.name}/${plan.host.incarnation}`),
			terms: new TermRecords(services),
			createPeers: membership => new SimulatedPeers({
				self: process, network, find: findPeer, membership, adjust: adjustments.remoteExecutor,
			}),
		}, plan.options);
		const {membership, peers} = this.core;
		this._greeting = new InitialDiscovery({...services, membership, peers});
		adjustments.node?.(this);
	}

	/** Requests and transactions that its end would cut. */
	get workCount(): number {
		return Math.max(this.inProgressCount, this.sessionCount) + this.servedCount;
	}

	get handlers(): PeerEnd['handlers'] {
		return this.core.peerHandlers;
	}

	learn(host: Host): void {
		this.core.membership.learn(host);
	}

	/** Starts as the daemon does: it meets others before it takes endpoints up. */
	start(): void {
		void this.core.start(async () => this._greeting.run());
	}

	/** A new id for a caller's session on this node. */
	nextSessionId(): string {
		this._sessionCount += 1;
		return `${this.process.name}/${this.incarnation}/${this._sessionCount}`;
	}
}
