/**
 * Random schedules of restores mixed with changes of the configuration, promotions, partitions and
 * starts of nodes, on a virtual clock. The same seed gives the same schedule.
 */
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SeededRandom} from '../../src/common/random/seeded-random.js';
import {cutConnections, databases, LineTestCluster} from './line-test-cluster.js';
import type {LineTestNode} from './line-test-cluster.js';
import type {StoreSnapshot} from './memory-row-store.js';

const seeds = Array.from({length: 24}, (_, index) => index + 1);

/** Number of steps of one schedule, and the time between two rounds of writes in virtual milliseconds. */
const steps = 14;
const roundMs = 40;

/** Time within which every node must have the last configuration and serve again, in virtual milliseconds. */
const recoveryMs = 20_000;

class Schedule {
	readonly cluster = new LineTestCluster();
	private readonly _random: SeededRandom;
	private readonly _acknowledged = new Set<string>();
	private readonly _snapshots: StoreSnapshot[] = [];
	private _configuration = 1;
	private _writes = 0;

	private readonly _actions: Readonly<Record<string, () => Promise<void>>> = {
		copy: async () => {
			this._snapshots.push(this.cluster.store.takeSnapshot());
		},
		restore: async () => this._restore(),
		restoreTwice: async () => {
			await this._restore();
			await this._writeFor(this._upTo(1000));
			await this._restore();
		},
		configure: async () => {
			this._configuration += 1;
			this.cluster.configure(this._configuration);
		},
		replacePrimary: async () => {
			const [primary] = this.cluster.group.instances.filter(({isPrimary}) => isPrimary).toSorted((a, b) => b.term - a.term);
			for (const node of this.cluster.nodes.slice(1)) {
				cutConnections(node, [primary.id]);
			}

			primary.missesPromotions = this._random.next() < 0.5;
			await this._writeFor(this._upTo(4000));
		},
		/** Isolates a node together with a primary and a replica that learn of no promotion; the node reaches the store again first. */
		cutZone: async () => {
			const [primary, blockedReplica, ...others] = this.cluster.group.instances.toSorted((a, b) => Number(b.isPrimary) - Number(a.isPrimary) || b.term - a.term);
			const isolatedNode = this._pick(this.cluster.nodes);
			isolatedNode.isStoreUnreachable = this._random.next() < 0.7;
			cutConnections(isolatedNode, others.map(({id}) => id));
			for (const node of this.cluster.nodes.filter(other => other !== isolatedNode)) {
				isolatedNode.unreachablePeers.add(node.self.name);
				cutConnections(node, [primary.id]);
			}

			this._snapshots.push(this.cluster.store.takeSnapshot());
			for (const instance of [primary, blockedReplica]) {
				instance.missesPromotions = true;
			}

			blockedReplica.isReplicationBlocked = true;
			await this._writeFor(this._upTo(6000));
			if (this._random.next() < 0.6) {
				await this._restore();
			}

			isolatedNode.isStoreUnreachable = false;
			await this._writeFor(this._upTo(6000));
		},
		cutStore: async () => {
			this._pick(this.cluster.nodes).isStoreUnreachable = true;
		},
		cutNode: async () => {
			const node = this._pick(this.cluster.nodes);
			for (const {self} of this.cluster.nodes) {
				node.unreachablePeers.add(self.name);
			}
		},
		startNode: async () => {
			if (this.cluster.nodes.length < 6) {
				this.cluster.addNode();
			}
		},
		loseHistory: async () => {
			this.cluster.store.dropHistory();
		},
		heal: async () => {
			this._clearFaults();
		},
	};

	constructor(seed: number) {
		this._random = new SeededRandom(seed);
	}

	async run(): Promise<void> {
		await this.cluster.start(4);
		this._snapshots.push(this.cluster.store.takeSnapshot());
		for (let step = 0; step < steps; step++) {
			await this._actions[this._pick([...Object.keys(this._actions), 'restore', 'copy', 'cutZone', 'heal'])]();
			this.cluster.register();
			await this._writeFor(this._upTo(1500));
		}

		this._clearFaults();
		await this._actions.configure();
		this.cluster.register();
		await this._writeFor(recoveryMs);
	}

	/** Returns the names of the nodes that do not have the last configuration. */
	behind(): string[] {
		return this.cluster.nodes.filter(({catalog}) => catalog.version !== this._configuration).map(({self}) => self.name);
	}

	/** Returns the acknowledged writes that took effect at a primary after a promotion to a later term. */
	acknowledgedAfterReplacement(): string[] {
		const {commits, promotionEffects} = this.cluster.group;
		return commits
			.filter(({id, term, atMs}) => this._acknowledged.has(id) && promotionEffects.some(start => start.term > term && start.atMs < atMs))
			.map(({id, instance, term}) => `${id} at ${instance} in term ${term}`);
	}

	/** Returns the epochs of orders that are lower than an earlier one or that two nodes used. */
	invalidEpochs(): string[] {
		return this.cluster.ordered
			.filter(({epoch, holder}, index) => this.cluster.ordered.slice(0, index).some(other => other.epoch > epoch || (other.epoch === epoch && other.holder !== holder)))
			.map(({epoch, holder}) => `${holder} with ${epoch}`);
	}

	/** Resolves to whether every node acknowledges a write. */
	async areAllServing(): Promise<boolean> {
		const answers = await this._write();
		return answers.every(answer => answer.startsWith('COMPLETE'));
	}

	private async _restore(): Promise<void> {
		const {store, clock} = this.cluster;
		store.isUnavailable = this._random.next() < 0.8;
		await this._writeFor(this._upTo(1500));
		store.restore(this._pick(this._snapshots.slice(-2)));
		store.isUnavailable = false;
		await clock.advance(this._upTo(2000));
		this.cluster.configure(this._configuration);
		this.cluster.register();
	}

	private _clearFaults(): void {
		for (const node of this.cluster.nodes) {
			node.connector.connectionFaults.clear();
			node.unreachablePeers.clear();
			node.isStoreUnreachable = false;
		}

		for (const instance of this.cluster.group.instances) {
			instance.missesPromotions = false;
			instance.isReplicationBlocked = false;
			this.cluster.group.catchUp(instance);
		}
	}

	private async _writeFor(durationMs: number): Promise<void> {
		const endMs = this.cluster.clock.nowMs() + durationMs;
		while (this.cluster.clock.nowMs() < endMs) {
			await this._write();
			await this.cluster.clock.advance(roundMs);
		}
	}

	private async _write(): Promise<string[]> {
		const sent = this.cluster.nodes.map((node: LineTestNode) => {
			this._writes += 1;
			const id = `w${this._writes}`;
			return {id, answer: node.session(databases.own).start(`WRITE x ${this._writes}`, id)};
		});
		const answers = await this.cluster.clock.advanceUntil(Promise.all(sent.map(async ({answer}) => answer)));
		for (const [index, answer] of answers.entries()) {
			if (answer.startsWith('COMPLETE')) {
				this._acknowledged.add(sent[index].id);
			}
		}

		return answers;
	}

	private _pick<T>(choices: readonly T[]): T {
		return choices[Math.floor(this._random.next() * choices.length)];
	}

	private _upTo(maximumMs: number): number {
		return maximumMs * this._random.next();
	}
}

describe('random schedules of restores', () => {
	for (const seed of seeds) {
		it(`keep configurations, primaries and epochs with seed ${seed}`, async () => {
			const schedule = new Schedule(seed);
			try {
				await schedule.run();
				expect(schedule.behind()).toEqual([]);
				expect(schedule.acknowledgedAfterReplacement()).toEqual([]);
				expect(schedule.invalidEpochs()).toEqual([]);
				expect(await schedule.areAllServing()).toEqual(true);
			} finally {
				schedule.cluster.dispose();
			}
		});
	}
});
