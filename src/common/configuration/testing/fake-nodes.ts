/**
 * Runs the configuration of many nodes in one process, over a simulated network that can lose
 * messages and be partitioned.
 */
import {Left, Right, type Either} from 'purify-ts';
import {MemoryPlatform, type PlatformClient} from '../../../../standins/platform/memory-platform.js';
import {Refusal} from '../../errors/error-kinds.js';
import {InvariantChecks} from '../../invariants/invariant-checks.js';
import type {SeededRandom} from '../../random/seeded-random.js';
import type {ChangeBatch, Host} from '../../services/services.js';
import type {VirtualClock} from '../../testing/virtual-clock.js';
import {ChangeHistory} from '../change-history.js';
import {ConfigurationLog} from '../configuration-log.js';
import {ConfigurationSync} from '../configuration-sync.js';
import {RecordedAudit, silentLog, silentMetrics} from './fixtures.js';

/** One node with the components that a test inspects. */
export type FakeNode = {
	readonly host: Host;
	readonly history: ChangeHistory;
	readonly changeLog: ConfigurationLog;
	readonly sync: ConfigurationSync;
	readonly platform: PlatformClient;
};

const networkDelayMs = 1;

/** The nodes and the simulated network between them. */
export class FakeNodes {
	readonly nodes: FakeNode[] = [];
	readonly platform: MemoryPlatform;
	/** Messages sent, by kind; a fetch counts as two, request and answer. */
	readonly messages = {announcement: 0, fetch: 0};
	/** Names of the peers that each node has fetched from, by name of the node. */
	readonly asked = new Map<string, Set<string>>();
	lossRate = 0;
	private readonly _clock: VirtualClock;
	private readonly _random: SeededRandom;
	private readonly _dead = new Set<string>();
	private _isPartitioned: ((from: Host, to: Host) => boolean) | undefined;

	constructor(clock: VirtualClock, random: SeededRandom) {
		this._clock = clock;
		this._random = random;
		this.platform = new MemoryPlatform(clock, random);
	}

	/** Adds a node without starting it; the host list of every node shows all nodes, including dead ones. */
	add(name: string, availabilityZone: string): FakeNode {
		const host: Host = {
			name, availabilityZone, region: 'r', peerHost: '127.0.0.1', peerPort: 1, operatorPort: 2, isLeaving: false, incarnation: '1',
		};
		const platform = this.platform.connect();
		const history = new ChangeHistory(new InvariantChecks(silentLog, silentMetrics, {isFatal: true}), silentLog);
		const changeLog = new ConfigurationLog({
			...platform, history, audit: new RecordedAudit(), clock: this._clock, log: silentLog, metrics: silentMetrics, currentPrimary: () => undefined,
		});
		const sync = new ConfigurationSync({
			history, changeLog, clock: this._clock, random: this._random, log: silentLog, metrics: silentMetrics,
			membership: {self: host, hosts: () => this.nodes.map(node => node.host)},
			peers: {
				fetchChanges: async (to, afterNumber, timeoutMs) => this._fetch(host, to, afterNumber, timeoutMs),
				announceVersion: (to, version) => {
					void this._announce(host, to, version);
				},
			},
		});
		const node: FakeNode = {
			host, history, changeLog, sync, platform,
		};
		this.nodes.push(node);
		return node;
	}

	/** Partitions the network: messages between two hosts are lost where the function returns true. */
	cut(isPartitioned: (from: Host, to: Host) => boolean): void {
		this._isPartitioned = isPartitioned;
	}

	/** Stops a node, which stays in the host lists of the others. */
	kill(node: FakeNode): void {
		this._dead.add(node.host.name);
		node.sync.dispose();
	}

	/** The nodes that have not been killed. */
	alive(): readonly FakeNode[] {
		return this.nodes.filter(({host}) => !this._dead.has(host.name));
	}

	dispose(): void {
		for (const {sync} of this.nodes) {
			sync.dispose();
		}
	}

	private async _announce(from: Host, to: Host, version: number): Promise<void> {
		this.messages.announcement++;
		if (await this._deliver(from, to)) {
			this._nodeOf(to)?.sync.onVersionAnnounced(from.name, version);
		}
	}

	private async _fetch(from: Host, to: Host, afterNumber: number, timeoutMs: number): Promise<Either<Refusal, ChangeBatch>> {
		this.messages.fetch += 2;
		this.asked.set(from.name, (this.asked.get(from.name) ?? new Set<string>()).add(to.name));
		if (await this._deliver(from, to)) {
			const batch = this._nodeOf(to)?.sync.changesAfter(afterNumber);
			if (batch && await this._deliver(to, from)) {
				return Right(batch);
			}
		}

		await this._wait(timeoutMs);
		return Left(new Refusal('peerUnavailable'));
	}

	/** Simulates the delivery of a message; whether it arrived. */
	private async _deliver(from: Host, to: Host): Promise<boolean> {
		await this._wait(networkDelayMs);
		const isLost = this._random.next() < this.lossRate;
		return !isLost && !this._dead.has(to.name) && !this._dead.has(from.name) && !this._isPartitioned?.(from, to);
	}

	private _nodeOf(host: Host): FakeNode | undefined {
		return this.nodes.find(node => node.host.name === host.name);
	}

	private async _wait(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			this._clock.setTimer(delayMs, resolve);
		});
	}
}
