/**
 * A whole system in one process on a virtual clock: platform, endpoints and nodes.
 */
import type {Either} from 'purify-ts';
import type {Change, Operation} from '../../src/common/configuration/schema.js';
import type {ProposalRefusal} from '../../src/common/configuration/types.js';
import {Undo} from '../../src/common/configuration/undo.js';
import type {NodeOptions} from '../../src/common/node-core.js';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import type {
	EndpointAddress, Host, Invariants, Log, Metrics,
} from '../../src/common/services/services.js';
import {VirtualClock} from '../../src/common/testing/virtual-clock.js';
import {loadParser} from '../../standins/endpoint/sql/planner.js';
import type {LagDistribution} from '../../standins/endpoint/types.js';
import {MemoryPlatform} from '../../standins/platform/memory-platform.js';
import {SimulatedEndpoint} from './simulated-endpoint.js';
import {SimulatedNetwork, platformZone, type NetworkDelays} from './simulated-network.js';
import {SimulatedNode, type NodeAdjustments} from './simulated-node.js';
import {SimulatedProcess} from './simulated-process.js';
import {dialFor} from './simulated-socket.js';
import type {EndpointObserver} from './work-wire.js';

/** Shape and behaviour of a world. */
export type WorldPlan = {
	readonly seed: number;
	readonly zones: readonly string[];
	readonly nodeCount: number;
	readonly groups: readonly string[];
	readonly instancesPerGroup: number;
	readonly slots: number;
	readonly connections: number;
	readonly serviceTimeMs: number;
	readonly lag: LagDistribution;
	readonly delays: NetworkDelays;
	readonly nodeOptions: NodeOptions;
	/** Rules in force from the start. */
	readonly rules: readonly Operation[];
	readonly adjustments?: NodeAdjustments;
};

/** Times of a graceful end. */
export type DrainTimes = {
	/** For the platform's balancer to notice that the node is leaving. */
	readonly noticeMs: number;
	/** For requests and transactions, at most. */
	readonly boundMs: number;
	/** For peers to close their links. */
	readonly linksMs: number;
};

const usualDrainTimes: DrainTimes = {noticeMs: 500, boundMs: 20_000, linksMs: 50};

/** Told about nodes and about changes of the configuration. */
export type ConfigurationObserver = {
	onNodeStarted(node: SimulatedNode): void;
	/** A change is being proposed; it may be in force anywhere from now on. */
	onProposed(operations: readonly Operation[]): void;
	onAccepted(change: Change, node: SimulatedNode): void;
};

/** What the world counts while it runs. */
export type WorldObservers = {
	readonly log: Log;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly endpoints?: EndpointObserver;
	readonly configuration?: ConfigurationObserver;
};

type Propose = (acknowledged: readonly string[]) => Promise<Either<ProposalRefusal, Change>>;

/** How often a draining node looks whether its callers are done. */
const drainLookMs = 10;

/** The system under test and everything around it. */
export class World {
	readonly clock = new VirtualClock();
	readonly plan: WorldPlan;
	readonly random: SeededRandom;
	readonly network: SimulatedNetwork;
	readonly platform: MemoryPlatform;
	readonly endpoints: readonly SimulatedEndpoint[];
	readonly nodes = new Map<string, SimulatedNode>();
	private readonly _observers: WorldObservers;
	private readonly _addresses: readonly EndpointAddress[];
	private _lastSeed: number;
	private _incarnationCount = 0;
	private _changeCount = 0;

	constructor(plan: WorldPlan, observers: WorldObservers) {
		this.plan = plan;
		this._observers = observers;
		this._lastSeed = plan.seed * 1000;
		this.random = new SeededRandom(this._nextSeed());
		this.network = new SimulatedNetwork(this.clock, new SeededRandom(this._nextSeed()), plan.delays);
		this.platform = new MemoryPlatform(this.clock, new SeededRandom(this._nextSeed()), {latencyMs: 3, latencySpreadMs: 4, hostListLagMs: 2000});
		this._addresses = addressesOf(plan);
		this.endpoints = this._addresses.map(address => this._makeEndpoint(address));
	}

	/** Starts endpoints and nodes and waits until the configuration is in force. */
	async start(): Promise<void> {
		await loadParser();
		for (const endpoint of this.endpoints) {
			endpoint.start();
		}

		for (let index = 0; index < this.plan.nodeCount; index++) {
			this.startNode(`n${index}`, this.plan.zones[index % this.plan.zones.length]);
		}

		await this.clock.advance(500);
		const [node] = this.nodes.values();
		await this.clock.advanceUntil(this.propose(node, this._firstOperations(), 'first'));
		await this.clock.advance(5000);
	}

	/** Starts a process for a node; a new one of the same name is another incarnation. */
	startNode(name: string, availabilityZone: string): SimulatedNode {
		this._incarnationCount += 1;
		const host: Host = {
			name,
			availabilityZone,
			region: 'region',
			peerHost: '10.0.0.1',
			peerPort: 1,
			operatorPort: 1,
			isLeaving: false,
			incarnation: `i${this._incarnationCount}`,
		};
		const process = new SimulatedProcess(name, availabilityZone, this.clock);
		const node = new SimulatedNode(
			{
				host, seed: this._nextSeed(), options: this.plan.nodeOptions, adjustments: this.plan.adjustments ?? {},
			},
			process,
			new SimulatedProcess(`host of ${name}`, availabilityZone, this.clock, name),
			{
				...this._observers,
				network: this.network,
				platform: this.platform.connect(),
				dial: client => dialFor(client, this.network, address => this.endpoint(address)),
				findPeer: peer => this.nodes.get(peer),
			},
		);
		this.nodes.set(name, node);
		this._applyPlatformCut(node);
		this._observers.configuration?.onNodeStarted(node);
		node.start();
		return node;
	}

	/** Starts a node unless one of its name runs. */
	ensureNode(name: string, availabilityZone: string): SimulatedNode {
		return this.nodes.get(name) ?? this.startNode(name, availabilityZone);
	}

	/** Ends a node's process without a word. */
	killNode(name: string): void {
		const node = this.nodes.get(name);
		if (node) {
			this.nodes.delete(name);
			node.process.kill();
			node.core.dispose();
		}
	}

	/** Ends a node as its platform does on a replacement: with time to finish. */
	async drainNode(name: string, times: Partial<DrainTimes> = {}): Promise<{readonly cutCount: number}> {
		const node = this.nodes.get(name);
		if (!node) {
			return {cutCount: 0};
		}

		const {noticeMs, boundMs, linksMs} = {...usualDrainTimes, ...times};
		node.isDraining = true;
		node.core.membership.leave();
		await this.pause(noticeMs);
		const endMs = this.clock.nowMs() + boundMs;
		await untilEnd(node, node.core.drain(boundMs));
		// Requests and transactions of callers and of peers finish within the same bound.
		while (node.workCount > 0 && this.clock.nowMs() < endMs && node.process.isAlive) {
			await this.pause(drainLookMs);
		}

		if (!node.process.isAlive) {
			return {cutCount: 0};
		}

		// Peers close their links; what they sent until then is refused properly.
		node.isClosing = true;
		await this.pause(linksMs);
		const cutCount = node.workCount;
		this.killNode(name);
		return {cutCount};
	}

	/** An endpoint by its name or its address. */
	endpoint(name: string): SimulatedEndpoint | undefined {
		const index = this._addresses.findIndex(address => address.name === name || address.host === name);
		return this.endpoints[index];
	}

	/** The instances of a group. */
	instancesOf(group: string): readonly SimulatedEndpoint[] {
		return this.endpoints.filter((_, index) => this._addresses[index].group === group);
	}

	/** Proposes a change on a node; false when it was not accepted. */
	async propose(node: SimulatedNode, operations: readonly Operation[], author: string, basedOn = node.core.history.version): Promise<boolean> {
		this._changeCount += 1;
		const changeId = `change-${this._changeCount}-00000000`;
		const proposal = {
			changeId, author, basedOn, operations,
		};
		const {configuration} = this._observers;
		configuration?.onProposed(operations);
		return this._decide(node, async acknowledged => node.core.changeLog.propose({...proposal, acknowledged}));
	}

	/** Undoes a change on a node; false when that was not accepted. */
	async undo(node: SimulatedNode, changeNumber: number, author: string): Promise<boolean> {
		this._changeCount += 1;
		const {changeLog, history} = node.core;
		const undo = new Undo(changeLog, history);
		const proposal = {changeId: `change-${this._changeCount}-00000000`, author, basedOn: history.version};
		const undone = history.since(changeNumber - 1)?.at(0);
		this._observers.configuration?.onProposed(undone?.inverse ?? []);
		return this._decide(node, async acknowledged => undo.propose(changeNumber, {...proposal, acknowledged}));
	}

	/** Cuts a zone off from the others, and from the platform if asked. */
	isolate(zone: string, isPlatformCut: boolean): void {
		for (const other of this.plan.zones) {
			if (other !== zone) {
				this.network.cut(zone, other);
			}
		}

		if (isPlatformCut) {
			this.network.cut(zone, platformZone);
		}

		this._applyPlatformCuts();
	}

	/** Ends every cut. */
	healNetwork(): void {
		this.network.healAll();
		this._applyPlatformCuts();
	}

	/** Waits in the world's time. */
	async pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.clock.setTimer(durationMs, resolve);
		});
	}

	dispose(): void {
		for (const name of this.nodes.keys()) {
			this.killNode(name);
		}

		for (const endpoint of this.endpoints) {
			endpoint.instance.dispose();
		}
	}

	/** Proposes, and once more with the warnings acknowledged, as an operator does who has read them. */
	private async _decide(node: SimulatedNode, propose: Propose): Promise<boolean> {
		const first = await untilEnd(node, propose([]));
		const refusal = first?.swap().toMaybe().extract();
		const warnings = refusal?.kind === 'unacknowledged' ? refusal.preview.warnings : [];
		const result = warnings.length > 0 ? await untilEnd(node, propose(warnings.map(({id}) => id))) : first;
		result?.ifRight(change => {
			this._observers.configuration?.onAccepted(change, node);
		});
		return result?.isRight() ?? false;
	}

	private _applyPlatformCuts(): void {
		for (const node of this.nodes.values()) {
			this._applyPlatformCut(node);
		}
	}

	private _applyPlatformCut(node: SimulatedNode): void {
		node.platform.faults.outage = this.network.isCut(node.process.availabilityZone, platformZone) ? 'silent' : 'none';
	}

	private _makeEndpoint(address: EndpointAddress): SimulatedEndpoint {
		const first = this._addresses.find(({group}) => group === address.group) ?? address;
		return new SimulatedEndpoint({
			address,
			isFirstPrimary: first.name === address.name,
			firstPrimary: first.name,
			slots: this.plan.slots,
			connections: this.plan.connections,
			serviceTimeMs: this.plan.serviceTimeMs,
			lag: this.plan.lag,
			seed: this._nextSeed(),
			observer: this._observers.endpoints,
		}, this.clock, this.network, name => this.endpoint(name));
	}

	private _firstOperations(): readonly Operation[] {
		const {slots, connections, groups, rules} = this.plan;
		return [
			{op: 'put', kind: 'service', value: {name: 'service', labels: {}}},
			...groups.map((name): Operation => ({op: 'put', kind: 'group', value: {name, service: 'service', labels: {}}})),
			...this._addresses.map((address): Operation => ({
				op: 'put',
				kind: 'endpoint',
				value: {
					...address, slots, connections, labels: {},
				},
			})),
			...rules,
		];
	}

	private _nextSeed(): number {
		this._lastSeed += 1;
		return this._lastSeed;
	}
}

/** What a node promises, or undefined when its process ends before. */
async function untilEnd<T>(node: SimulatedNode, promise: Promise<T>): Promise<T | undefined> {
	return new Promise((resolve, reject) => {
		const ended = node.process.onEnd(() => {
			resolve(undefined);
		});
		promise.then(value => {
			ended.dispose();
			resolve(value);
		}, reject);
	});
}

function addressesOf({groups, zones, instancesPerGroup}: WorldPlan): readonly EndpointAddress[] {
	return groups.flatMap((group, groupIndex) => Array.from({length: instancesPerGroup}, (_, index) => ({
		name: `${group}-${index}`,
		group,
		availabilityZone: zones[(groupIndex + index) % zones.length],
		host: `10.1.${groupIndex}.${index + 1}`,
		port: 5432,
	})));
}
