/**
 * A simulated group over three zones, with a node in each, in one process on virtual time.
 */
import {Left, Right, type Either} from 'purify-ts';
import {Refusal} from '../../errors/error-kinds.js';
import {InvariantChecks} from '../../invariants/invariant-checks.js';
import {Emitter} from '../../lifecycle/emitter.js';
import type {LogPosition} from '../../positions/log-position.js';
import {SeededRandom} from '../../random/seeded-random.js';
import type {
	AuditEntry, Configuration, EndpointPolicy, GroupDefinition, Host, Membership, Peers, PrimaryAnnouncement,
} from '../../services/services.js';
import {VirtualClock} from '../../testing/virtual-clock.js';
import {groupDefaults} from '../constants.js';
import {MonitoredGroup} from '../monitored-group.js';
import {PauseDetector} from '../pause-detector.js';
import {safetyRules, type SafetyRules} from '../safety-rules.js';
import type {GroupOptions, GroupServices} from '../types.js';
import {FakeInstance, type FakeTermStart} from './fake-instance.js';
import {FakeNetwork, FakeProcess} from './fake-network.js';

const groupName = 'stock';
const zones = ['a', 'b', 'c'] as const;
const ignore = (): void => undefined;

const defaultPolicy: EndpointPolicy = {
	isDraining: false, acceptsReads: true, primaryPreference: 0, isOrderedPrimary: false,
};

/** Safety rules and options that differ from the defaults. */
export type FakeSetup = {readonly rules?: Partial<SafetyRules>; readonly options?: Partial<GroupOptions>};

/** A simulated node with its monitor of the group. */
export class FakeNode {
	process: FakeProcess;
	monitor!: MonitoredGroup;
	/** Names of the log events of this node. */
	readonly events: string[] = [];
	private readonly _world: FakeWorld;
	private readonly _zone: string;
	private _incarnation = 1;
	private _pauseDetector!: PauseDetector;

	constructor(zone: string, world: FakeWorld) {
		this._world = world;
		this._zone = zone;
		this.process = new FakeProcess(`node-${zone}`, zone, world.network);
	}

	get host(): Host {
		return {
			name: `node-${this._zone}`,
			availabilityZone: this._zone,
			region: 'r',
			peerHost: '127.0.0.1',
			peerPort: 1,
			operatorPort: 2,
			isLeaving: false,
			incarnation: String(this._incarnation),
		};
	}

	start(): void {
		const services = this.services();
		const options = {...groupDefaults, ...this._world.setup.options};
		this._pauseDetector = new PauseDetector(this.process, options.pauseBoundMs);
		this.monitor = new MonitoredGroup(groupName, {
			services, options, pause: this._pauseDetector, rules: {...safetyRules, ...this._world.setup.rules},
		});
	}

	/** Ends the process without notice to the others. */
	kill(): void {
		this.process.isDead = true;
		this.monitor.dispose();
		this._pauseDetector.dispose();
	}

	/** Starts a new process of the same name, with the next incarnation. */
	restart(): void {
		this.process = new FakeProcess(this.host.name, this.host.availabilityZone, this._world.network);
		this._incarnation++;
		this.start();
	}

	/** Services for a monitor on this node. */
	services(): GroupServices {
		const world = this._world;
		const log = {
			event: (name: string) => {
				this.events.push(name);
			},
		};
		const metrics = {
			count: ignore,
			gauge: ignore,
			observe: ignore,
		};
		return {
			clock: this.process,
			random: world.network.random,
			log,
			metrics,
			connector: {
				connectWork: async () => Left({mayHaveReached: false, detail: 'not modelled'}),
				connectControl: async endpoint => world.instance(endpoint.name).connect(this.process),
			},
			membership: world.membershipOf(this),
			peers: world.peersOf(this),
			configuration: world.configuration,
			audit: {
				record(entry: AuditEntry) {
					world.audit.push(entry);
				},
			},
			invariants: new InvariantChecks(log, metrics, {isFatal: true}),
			terms: {
				record(announcement: PrimaryAnnouncement) {
					world.recorded.push(announcement);
				},
			},
		};
	}
}

/** The simulated group, its nodes and the network between them. */
export class FakeWorld {
	readonly clock = new VirtualClock();
	readonly random: SeededRandom;
	readonly network: FakeNetwork;
	readonly termStarts: FakeTermStart[] = [];
	readonly instances: FakeInstance[] = [];
	readonly nodes: FakeNode[];
	readonly policies = new Map<string, Partial<EndpointPolicy>>();
	readonly audit: AuditEntry[] = [];
	readonly recorded: PrimaryAnnouncement[] = [];
	readonly configuration: Configuration;
	readonly setup: FakeSetup;
	private readonly _onConfiguration = new Emitter<number>();

	constructor(seed: number, setup: FakeSetup = {}) {
		this.setup = setup;
		this.random = new SeededRandom(seed);
		this.network = new FakeNetwork(this.clock, this.random);
		const definition = definitionOf();
		this.configuration = {
			version: 1,
			onChange: this._onConfiguration.event,
			groups: () => [definition],
			group: () => definition,
			callerPolicy() {
				throw new Error('not modelled');
			},
			endpointPolicy: endpoint => ({...defaultPolicy, ...this.policies.get(endpoint)}),
		};
		for (const endpoint of definition.endpoints) {
			this.instances.push(new FakeInstance(endpoint, 'replica', this));
		}

		this.nodes = zones.map(zone => new FakeNode(zone, this));
	}

	/** The live instance with the role of primary in the highest term; undefined when there is none. */
	get primary(): FakeInstance | undefined {
		return this.instances
			.filter(({role, process}) => role === 'primary' && !process.isDead)
			.toSorted((a, b) => b.promisedTerm - a.promisedTerm)[0];
	}

	/** Starts all instances and nodes in term 1, and lets 300 ms pass for them to connect. */
	async start(): Promise<void> {
		const [primary, ...replicas] = this.instances;
		primary.startTerm();
		for (const replica of replicas) {
			replica.follow(1, primary);
		}

		for (const node of this.nodes) {
			node.start();
		}

		await this.clock.advance(300);
	}

	instance(name: string): FakeInstance {
		return this.instances.find(instance => instance.name === name)!;
	}

	/** Changes the policy of an endpoint on all nodes at once. */
	setPolicy(endpoint: string, policy: Partial<EndpointPolicy>): void {
		this.policies.set(endpoint, policy);
		for (const {monitor} of this.nodes) {
			monitor.configure(this.configuration.group(groupName));
		}
	}

	/** Notifies the nodes that the configuration has changed. */
	announceConfiguration(): void {
		this._onConfiguration.fire(this.configuration.version + 1);
	}

	/** Writes at the primary and waits for the confirmation by a majority, as the primary's home does. */
	async write(id: number, timeoutMs = 1000): Promise<Either<Refusal, LogPosition>> {
		const {primary} = this;
		const position = primary?.append(id);
		const node = this.nodes.find(({host}) => host.availabilityZone === primary?.address.availabilityZone);
		if (!position || !node || node.process.isDead) {
			return Left(new Refusal('noPrimary'));
		}

		const outcome = await node.monitor.confirm(position, timeoutMs);
		return outcome.map(() => position);
	}

	dispose(): void {
		for (const node of this.nodes) {
			node.kill();
		}
	}

	membershipOf(node: FakeNode): Membership {
		return {
			self: node.host,
			onChange: new Emitter<void>().event,
			hosts: () => this.nodes.map(({host}) => host),
			host: name => this._node(name)?.host,
			homeOf: ({availabilityZone}) => this.nodes.find(({host}) => host.availabilityZone === availabilityZone)?.host,
			reportReachability: ignore,
			learn: ignore,
			leave: ignore,
		};
	}

	peersOf(node: FakeNode): Peers {
		const notModelled = (): never => {
			throw new Error('not modelled');
		};

		return {
			executorOf: notModelled,
			fetchChanges: notModelled,
			announceVersion: notModelled,
			handOver: notModelled,
			announceLeaving: notModelled,
			dispose: ignore,
			groupView: async (host, _group, timeoutMs) => this._request(node, host, timeoutMs, peer => peer.monitor.view()),
			probe: async (host, timeoutMs) => this._request(node, host, timeoutMs, peer => ({host: peer.host, configurationVersion: 1})),
			announcePrimary: (host, announcement) => {
				void this._request(node, host, 1000, peer => {
					peer.monitor.learnPrimary(announcement);
				});
			},
		};
	}

	/** Sends a request to a peer; one that a cut or a pause holds back is never answered and times out. */
	private async _request<T>(node: FakeNode, host: Host, timeoutMs: number, answer: (peer: FakeNode) => T): Promise<Either<Refusal, T>> {
		const peer = this._node(host.name);
		const isReached = (): boolean => peer !== undefined && !peer.process.isDead && !peer.process.isPaused
			&& this.network.isOpen(node.process, peer.process);
		return new Promise(resolve => {
			const {process} = node;
			const timer = process.setTimer(timeoutMs, () => {
				resolve(Left(new Refusal('peerUnavailable')));
			});
			this.clock.setTimer(this.network.delayMs(node.process, node.process) * 10, () => {
				if (!isReached()) {
					return;
				}

				timer.dispose();
				resolve(Right(answer(peer!)));
			});
		});
	}

	private _node(name: string): FakeNode | undefined {
		return this.nodes.find(({host}) => host.name === name);
	}
}

function definitionOf(): GroupDefinition {
	return {
		name: groupName,
		service: 'shop',
		labels: {},
		endpoints: zones.map((zone, index) => ({
			name: `stock-${zone}`, group: groupName, availabilityZone: zone, host: `host-${zone}`, port: 5000 + index, labels: {}, slots: 3, connections: 20,
		})),
	};
}
