/**
 * Causes faults in a world while it runs, drawn from a seed: what breaks, when and for how
 * long. Several chains make faults overlap.
 */
import type {Random} from '../../src/common/services/services.js';
import type {Finding} from '../findings.js';
import type {SimulatedEndpoint} from '../world/simulated-endpoint.js';
import type {SimulatedNode} from '../world/simulated-node.js';
import type {DrainTimes} from '../world/world-plan.js';
import type {World} from '../world/world.js';
import {faultActions, faultNames, type FaultName} from './fault-actions.js';

/** What an injector may be told. */
export type FaultOptions = {
	readonly names?: readonly FaultName[];
	readonly drain?: DrainTimes;
};

/** Causes faults, and notes what their handling broke. */
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

	/** One chain of faults. Ends when stopped, with everything mended. */
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

	/** A random item. */
	pick<T>(items: readonly T[]): T | undefined {
		return items[Math.floor(this.random.next() * items.length)];
	}

	/** An endpoint that runs. */
	pickEndpoint(): SimulatedEndpoint | undefined {
		return this.pick(this.world.endpoints.filter(({isDown, process}) => !isDown && !process.isFrozen));
	}

	/** A primary that runs. */
	pickPrimary(): SimulatedEndpoint | undefined {
		return this.pick(this.world.endpoints.filter(({isDown, process, instance}) => instance.isPrimary && !isDown && !process.isFrozen));
	}

	/** A node that runs and is not being drained. */
	pickNode(): SimulatedNode | undefined {
		return this.pick([...this.world.nodes.values()].filter(({isDraining, process}) => !isDraining && !process.isFrozen));
	}

	/** A new name for a rule: two acts may overlap. */
	nextRuleName(): string {
		this._ruleCount += 1;
		return `rule-${this._ruleCount}`;
	}

	/** Cuts a zone off for a while. */
	async isolateZone(zone: string | undefined, isPlatformCut: boolean): Promise<void> {
		if (zone !== undefined) {
			this.world.isolate(zone, isPlatformCut);
			await this.pauseBetween(300, 8000);
			this.world.healNetwork();
		}
	}

	/** Replaces a node as the platform does: it is given time, and what it cuts all the same is noted. */
	async replaceNode(node: SimulatedNode): Promise<void> {
		const {name, availabilityZone} = node.process;
		const {cutCount} = await this.world.drainNode(name, this._drain);
		if (cutCount > 0) {
			this.findings.push({promise: 'drainCut', detail: `${name} ended with ${cutCount} requests and transactions in progress`});
		}

		await this.pauseBetween(200, 2000);
		this.world.ensureNode(name, availabilityZone);
	}

	/** Waits for a random time. */
	async pauseBetween(fromMs: number, toMs: number): Promise<void> {
		await this.world.pause(fromMs + (this.random.next() * (toMs - fromMs)));
	}
}
