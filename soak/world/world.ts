/**
 * A whole system in one process on a virtual clock: platform, endpoints and nodes.
 */
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import type {EndpointAddress, Host} from '../../src/common/services/services.js';
import {VirtualClock} from '../../src/common/testing/virtual-clock.js';
import {loadParser} from '../../standins/endpoint/sql/planner.js';
import {MemoryPlatform} from '../../standins/platform/memory-platform.js';
import {Operators} from './operators.js';
import {SimulatedEndpoint} from './simulated-endpoint.js';
import {SimulatedNetwork, platformZone} from './simulated-network.js';
import {SimulatedNode} from './simulated-node.js';
import {SimulatedProcess, untilEnd} from './simulated-process.js';
import {dialFor} from './simulated-socket.js';
import {
	addressesOf, firstOperationsOf, usualDrainTimes, type DrainTimes, type WorldObservers, type WorldPlan,
} from './world-plan.js';

/** Interval at which a draining node checks whether its requests and transactions are done, in milliseconds. */
const drainPollMs = 10;

/** The system under test and everything around it. */
export class World {
	readonly clock = new VirtualClock();
	readonly plan: WorldPlan;
	readonly random: SeededRandom;
	readonly network: SimulatedNetwork;
	readonly platform: MemoryPlatform;
	readonly endpoints: readonly SimulatedEndpoint[];
	readonly nodes = new Map<string, SimulatedNode>();
	readonly operators: Operators;
	readonly addresses: readonly EndpointAddress[];
	private readonly _observers: WorldObservers;
	private _lastSeed: number;
	private _incarnationCount = 0;

	constructor(plan: WorldPlan, observers: WorldObservers) {
		this.plan = plan;
		this._observers = observers;
		this.operators = new Operators(observers.configuration);
		this._lastSeed = plan.seed * 1000;
		this.random = new SeededRandom(this._nextSeed());
		this.network = new SimulatedNetwork(this.clock, new SeededRandom(this._nextSeed()), plan.delays);
		this.platform = new MemoryPlatform(this.clock, new SeededRandom(this._nextSeed()), {latencyMs: 3, latencySpreadMs: 4, hostListLagMs: 2000});
		this.addresses = addressesOf(plan);
		this.endpoints = this.addresses.map(address => this._makeEndpoint(address));
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
		await this.clock.advanceUntil(this.operators.propose(node, firstOperationsOf(this.plan, this.addresses), 'first'));
		await this.clock.advance(5000);
	}

	/** Starts a node in a new process; each start under the same name is a new incarnation. */
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

	/** The running node of this name, which is started if there is none. */
	ensureNode(name: string, availabilityZone: string): SimulatedNode {
		return this.nodes.get(name) ?? this.startNode(name, availabilityZone);
	}

	/** Ends a node's process abruptly. */
	killNode(name: string): void {
		const node = this.nodes.get(name);
		if (node) {
			this.nodes.delete(name);
			node.process.kill();
			node.core.dispose();
		}
	}

	/** Ends a node as the platform does on a replacement, with time to finish; resolves with the number of requests and transactions that were cut off. */
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
		await untilEnd(node.process, node.core.drain(boundMs));
		// Requests and transactions of callers and of peers finish within the same bound.
		while (node.workCount > 0 && this.clock.nowMs() < endMs && node.process.isAlive) {
			await this.pause(drainPollMs);
		}

		if (!node.process.isAlive) {
			return {cutCount: 0};
		}

		// Peers now close their links; until the node ends, it refuses their new requests.
		node.isClosing = true;
		await this.pause(linksMs);
		const cutCount = node.workCount;
		this.killNode(name);
		return {cutCount};
	}

	/** Finds an endpoint by its name or its host address. */
	endpoint(name: string): SimulatedEndpoint | undefined {
		const index = this.addresses.findIndex(address => address.name === name || address.host === name);
		return this.endpoints[index];
	}

	/** The instances of a group. */
	instancesOf(group: string): readonly SimulatedEndpoint[] {
		return this.endpoints.filter((_, index) => this.addresses[index].group === group);
	}

	/** Cuts a zone off from the others, and also from the platform if `isPlatformCut`. */
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

	/** Waits for a virtual time in milliseconds. */
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

	private _applyPlatformCuts(): void {
		for (const node of this.nodes.values()) {
			this._applyPlatformCut(node);
		}
	}

	private _applyPlatformCut(node: SimulatedNode): void {
		node.platform.faults.outage = this.network.isCut(node.process.availabilityZone, platformZone) ? 'silent' : 'none';
	}

	private _makeEndpoint(address: EndpointAddress): SimulatedEndpoint {
		const first = this.addresses.find(({group}) => group === address.group) ?? address;
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

	private _nextSeed(): number {
		this._lastSeed += 1;
		return this._lastSeed;
	}
}
