/**
 * One node of the world: the core of the product with the simulated clock, network and platform.
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
import {platformWithin} from './process-platform.js';
import {SimulatedPeers, type FindPeer, type PeerEnd} from './simulated-peers.js';
import {type SimulatedProcess} from './simulated-process.js';

/** Parameters of one node of the world. */
export type NodePlan = {
	readonly host: Host;
	readonly seed: number;
	readonly options: NodeOptions;
	readonly adjustments: NodeAdjustments;
};

/** Changes to components of every node, for tests that break one deliberately. */
export type NodeAdjustments = {
	readonly connector?: (connector: EndpointConnector) => EndpointConnector;
	readonly table?: (table: Table) => Table;
	/** Replaces the executor for peers. */
	readonly remoteExecutor?: (executor: HomeExecutor) => HomeExecutor;
	/** Called with each node before it starts. */
	readonly node?: (node: SimulatedNode) => void;
};

/** Services that the world provides to its nodes. */
export type NodeEnvironment = {
	readonly network: SimulatedNetwork;
	readonly platform: PlatformClient;
	readonly invariants: Invariants;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly dial: (process: SimulatedProcess) => Dial;
	readonly findPeer: FindPeer;
};

/** A node, for the lifetime of its process. */
export class SimulatedNode implements PeerEnd {
	readonly process: SimulatedProcess;
	readonly host: SimulatedProcess;
	readonly platform: PlatformClient;
	readonly incarnation: string;
	readonly core: NodeCore;
	/** Number of requests of callers that it has not answered yet. */
	inProgressCount = 0;
	/** Number of requests and transactions of callers that have not ended yet. */
	sessionCount = 0;
	/** Number of requests of peers that are in progress on this node. */
	servedCount = 0;
	isDraining = false;
	isClosing = false;
	private readonly _initialDiscovery: InitialDiscovery;
	private _sessionCount = 0;

	constructor(plan: NodePlan, process: SimulatedProcess, host: SimulatedProcess, environment: NodeEnvironment) {
		this.process = process;
		this.host = host;
		this.platform = environment.platform;
		this.incarnation = plan.host.incarnation;
		const random = new SeededRandom(plan.seed);
		const {adjustments} = plan;
		const plainConnector = new PgEndpointConnector(process, {
			user: 'proxy', password: '', dial: environment.dial(process),
		});
		const connector = adjustments.connector?.(plainConnector) ?? plainConnector;
		const {metrics, invariants, network, findPeer} = environment;
		const log: Log = {
			event(name, fields) {
				environment.log.event(name, {node: process.name, ...fields});
			},
		};
		const platform = platformWithin(process, environment.platform);
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
		this._initialDiscovery = new InitialDiscovery({...services, membership, peers});
		adjustments.node?.(this);
	}

	/** Number of requests and transactions that would be cut off if it ended now. */
	get workCount(): number {
		return Math.max(this.inProgressCount, this.sessionCount) + this.servedCount;
	}

	get handlers(): PeerEnd['handlers'] {
		return this.core.peerHandlers;
	}

	learn(host: Host): void {
		this.core.membership.learn(host);
	}

	/** Starts as the daemon does: it discovers its peers before it works for endpoints. */
	start(): void {
		void this.core.start(async () => this._initialDiscovery.run());
	}

	/** A new id for a caller's session, unique across nodes and incarnations. */
	nextSessionId(): string {
		this._sessionCount += 1;
		return `${this.process.name}/${this.incarnation}/${this._sessionCount}`;
	}
}
