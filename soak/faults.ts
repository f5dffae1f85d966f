/**
 * Faults of a run, drawn from its seed: what breaks, when, for how long, also two at once.
 */
import type {Operation} from '../src/common/configuration/schema.js';
import type {Random} from '../src/common/services/services.js';
import type {SimulatedEndpoint} from './world/simulated-endpoint.js';
import type {SimulatedNode} from './world/simulated-node.js';
import type {World} from './world/world.js';

/** Names of the faults. */
export type FaultName = 'crashEndpoint' | 'freezeEndpoint' | 'isolateZone' | 'isolateZoneAndPlatform' | 'cutPair' | 'freezeNode'
	| 'killNode' | 'drainNode' | 'platformOutage' | 'platformSlow' | 'lostAnswers' | 'lagSpike' | 'orderPrimary' | 'drainEndpoint' | 'operatorRace';

/** Something that went wrong in the way a fault was handled; a broken promise. */
export type FaultFinding = {readonly promise: 'drainCut' | 'leavingServed'; readonly detail: string};

type Fault = (faults: FaultInjector, random: Random) => Promise<void>;

/** A graceful end must not cut what finishes within this time. */
const drainBoundMs = 8000;

const faultActions: Record<FaultName, Fault> = {
	async crashEndpoint(faults, random) {
		const endpoint = faults.pickEndpoint(random);
		endpoint.crash();
		await faults.pause(between(random, 200, 8000));
		endpoint.restart();
	},
	async freezeEndpoint(faults, random) {
		const endpoint = faults.pickEndpoint(random);
		endpoint.process.freeze();
		await faults.pause(between(random, 100, 6000));
		endpoint.process.thaw();
	},
	isolateZone: async (faults, random) => faults.isolate(random, false),
	isolateZoneAndPlatform: async (faults, random) => faults.isolate(random, true),
	async cutPair(faults, random) {
		const {zones} = faults.world.plan;
		const first = Math.floor(random.next() * zones.length);
		const second = (first + 1) % zones.length;
		faults.world.network.cut(zones[first], zones[second]);
		await faults.pause(between(random, 200, 6000));
		faults.world.healNetwork();
	},
	async freezeNode(faults, random) {
		const node = faults.pickNode(random);
		node?.process.freeze();
		await faults.pause(between(random, 100, 5000));
		node?.process.thaw();
	},
	async killNode(faults, random) {
		const node = faults.pickNode(random);
		if (node) {
			faults.world.killNode(node.process.name);
			await faults.pause(between(random, 200, 4000));
			faults.world.startNode(node.process.name, node.process.availabilityZone);
		}
	},
	async drainNode(faults, random) {
		const node = faults.pickNode(random);
		if (node) {
			const {cutCount} = await faults.world.drainNode(node.process.name, drainBoundMs);
			faults.noteDrain(node, cutCount);
			await faults.pause(between(random, 200, 2000));
			faults.world.startNode(node.process.name, node.process.availabilityZone);
		}
	},
	async platformOutage(faults, random) {
		faults.world.platform.faults.outage = random.next() < 0.5 ? 'refused' : 'silent';
		await faults.pause(between(random, 1000, 15_000));
		faults.world.platform.faults.outage = 'none';
	},
	async platformSlow(faults, random) {
		faults.world.platform.faults.latencyMs = between(random, 200, 1500);
		await faults.pause(between(random, 1000, 10_000));
		faults.world.platform.faults.latencyMs = 3;
	},
	async lostAnswers(faults, random) {
		faults.world.platform.faults.lostAnswerShare = 0.5;
		await faults.pause(between(random, 1000, 10_000));
		faults.world.platform.faults.lostAnswerShare = 0;
	},
	async lagSpike(faults, random) {
		const endpoint = faults.pickEndpoint(random);
		const {lag} = endpoint.instance;
		endpoint.instance.lag = {p50Ms: 2000, p99Ms: 8000};
		await faults.pause(between(random, 1000, 8000));
		endpoint.instance.lag = lag;
	},
	async orderPrimary(faults, random) {
		await faults.changeFor(random, name => ({
			name: 'order-primary', order: 0, selector: {endpoints: [{label: 'name', operator: 'equals', value: name}]}, effect: {kind: 'orderPrimary'},
		}));
	},
	async drainEndpoint(faults, random) {
		await faults.changeFor(random, name => ({
			name: 'drain', order: 0, selector: {endpoints: [{label: 'name', operator: 'equals', value: name}]}, effect: {kind: 'drain', isDraining: true},
		}));
	},
	async operatorRace(faults, random) {
		const nodes = [faults.pickNode(random), faults.pickNode(random)].filter(node => node !== undefined);
		await Promise.all(nodes.map(async (node, index) => faults.world.propose(node, [{
			op: 'put',
			kind: 'rule',
			value: {
				name: 'race', order: index, selector: {}, effect: {kind: 'deadline', deadlineMs: 5000 + index},
			},
		}], `operator-${index}`)));
	},
};

/** Every fault there is. */
export const faultNames: readonly FaultName[] = Object.keys(faultActions).filter((name): name is FaultName => name in faultActions);

/** Causes faults in a world while it runs. */
export class FaultInjector {
	readonly world: World;
	readonly counts = new Map<FaultName, number>();
	readonly findings: FaultFinding[] = [];
	private readonly _random: Random;
	private readonly _names: readonly FaultName[];
	private _ruleCount = 0;
	private _isStopped = false;

	constructor(world: World, random: Random, names: readonly FaultName[] = faultNames) {
		this.world = world;
		this._random = random;
		this._names = names;
	}

	/** One chain of faults; two chains make them overlap. Ends when stopped, with everything mended. */
	async run(pauseMs: number): Promise<void> {
		while (!this._isStopped) {
			await this.pause(between(this._random, pauseMs * 0.3, pauseMs * 1.7));
			if (!this._isStopped) {
				const name = this._names[Math.floor(this._random.next() * this._names.length)];
				this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
				await faultActions[name](this, this._random);
			}
		}
	}

	stop(): void {
		this._isStopped = true;
	}

	pickEndpoint(random: Random): SimulatedEndpoint {
		const {endpoints} = this.world;
		return endpoints[Math.floor(random.next() * endpoints.length)];
	}

	/** A node that is not being drained. */
	pickNode(random: Random): SimulatedNode | undefined {
		const nodes = [...this.world.nodes.values()].filter(({isDraining, process}) => !isDraining && !process.isFrozen);
		return nodes[Math.floor(random.next() * nodes.length)];
	}

	async isolate(random: Random, isPlatformCut: boolean): Promise<void> {
		const {zones} = this.world.plan;
		this.world.isolate(zones[Math.floor(random.next() * zones.length)], isPlatformCut);
		await this.pause(between(random, 300, 8000));
		this.world.healNetwork();
	}

	/** Puts a rule about one endpoint in force, and takes it back after a while. */
	async changeFor(random: Random, ruleOf: (endpoint: string) => Extract<Operation, {op: 'put'; kind: 'rule'}>['value']): Promise<void> {
		this._ruleCount += 1;
		// Each act has a rule of its own, since two may overlap.
		const rule = {...ruleOf(this.pickEndpoint(random).process.name), name: `rule-${this._ruleCount}`};
		const node = this.pickNode(random);
		if (!node || !await this.world.propose(node, [{op: 'put', kind: 'rule', value: rule}], 'operator')) {
			return;
		}

		await this.pause(between(random, 3000, 8000));
		for (;;) {
			const undoNode = this.pickNode(random);
			if (undoNode && await this.world.propose(undoNode, [{op: 'remove', kind: 'rule', name: rule.name}], 'operator')) {
				return;
			}

			await this.pause(500);
		}
	}

	/** A drain within its bound must leave nothing in progress. */
	noteDrain(node: SimulatedNode, cutCount: number): void {
		if (cutCount > 0) {
			this.findings.push({promise: 'drainCut', detail: `${node.process.name} ended with ${cutCount} requests in progress`});
		}
	}

	async pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.world.clock.setTimer(durationMs, resolve);
		});
	}
}

function between(random: Random, from: number, to: number): number {
	return from + (random.next() * (to - from));
}
