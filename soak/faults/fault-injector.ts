/**
 * Injects faults into a running world. A seed decides which fault, when and for how long; several
 * concurrent chains make faults overlap.
 */
import type {Random} from '../../src/common/services/services.js';
import type {Finding} from '../findings.js';
import type {SimulatedEndpoint} from '../world/simulated-endpoint.js';
import type {SimulatedNode} from '../world/simulated-node.js';
import type {DrainTimes} from '../world/world-plan.js';
import type {World} from '../world/world.js';
import {faultActions, faultNames, type FaultName} from './fault-actions.js';

/** Options of a fault injector. */
export type FaultOptions = {
	readonly names?: readonly FaultName[];
	readonly drain?: DrainTimes;
};

/** Injects faults, counts them, and records requests and transactions that a drain cut off. */
export class FaultInjector {
	readonly world: World;
	readonly random: Random;
	readonly counts = new Map<FaultName, number>();
	readonly findings: Finding[] = [];
	private readonly _names: readonly FaultName[];
	private readonly _drain: DrainTimes | undefined;
	private _ruleCount = 0;
	private _isStopped = false;

	constructor(world: World, random: Random, {names = faultNames, drain}: FaultOptions = {}) {
		this.world = world;
		this.random = random;
		this._names = names;
		this._drain = drain;
	}

	/** Runs one chain of faults; resolves after `stop()`, once the last fault is undone. */
	async run(pauseMs: number): Promise<void> {
		while (!this._isStopped) {
			await this.pauseBetween(pauseMs * 0.3, pauseMs * 1.7);
			if (!this._isStopped) {
				const name = this._names[Math.floor(this.random.next() * this._names.length)];
				this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
				await faultActions[name](this);
			}
		}
	}

	stop(): void {
		this._isStopped = true;
	}

	/** A random item; undefined if there is none. */
	pick<T>(items: readonly T[]): T | undefined {
		return items[Math.floor(this.random.next() * items.length)];
	}

	/** A random running endpoint. */
	pickEndpoint(): SimulatedEndpoint | undefined {
		return this.pick(this.world.endpoints.filter(({isDown, process}) => !isDown && !process.isFrozen));
	}

	/** A random running primary. */
	pickPrimary(): SimulatedEndpoint | undefined {
		return this.pick(this.world.endpoints.filter(({isDown, process, instance}) => instance.isPrimary && !isDown && !process.isFrozen));
	}

	/** A random node that runs and is not draining. */
	pickNode(): SimulatedNode | undefined {
		return this.pick([...this.world.nodes.values()].filter(({isDraining, process}) => !isDraining && !process.isFrozen));
	}

	/** A new name for a rule, since the actions of two chains may overlap. */
	nextRuleName(): string {
		this._ruleCount += 1;
		return `rule-${this._ruleCount}`;
	}

	/** Cuts a zone off from the others, and from the platform if asked, for a random time. */
	async isolateZone(zone: string | undefined, isPlatformCut: boolean): Promise<void> {
		if (zone !== undefined) {
			this.world.isolate(zone, isPlatformCut);
			await this.pauseBetween(300, 8000);
			this.world.healNetwork();
		}
	}

	/** Replaces a node as the platform does: drains it within the bound, and reports what was cut off nevertheless. */
	async replaceNode(node: SimulatedNode): Promise<void> {
		const {name, availabilityZone} = node.process;
		const {cutCount} = await this.world.drainNode(name, this._drain);
		if (cutCount > 0) {
			this.findings.push({promise: 'drainCut', detail: `${name} ended with ${cutCount} requests and transactions in progress`});
		}

		await this.pauseBetween(200, 2000);
		this.world.ensureNode(name, availabilityZone);
	}

	/** Waits for a random time between two bounds, in virtual milliseconds. */
	async pauseBetween(fromMs: number, toMs: number): Promise<void> {
		await this.world.pause(fromMs + (this.random.next() * (toMs - fromMs)));
	}
}
