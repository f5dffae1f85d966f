/**
 * Many nodes' configuration in one process, over a network that loses messages and is cut.
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

/** One node with the parts that a test looks at. */
export type FakeNode = {
	readonly host: Host;
	readonly history: ChangeHistory;
	readonly changeLog: ConfigurationLog;
	readonly sync: ConfigurationSync;
	readonly platform: PlatformClient;
};

const networkDelayMs = 1;

/** The nodes and what lies between them. */
export class FakeNodes {
	readonly nodes: FakeNode[] = [];
	readonly platform: MemoryPlatform;
	/** Messages by kind; a fetch counts with its answer as two. */
	readonly messages = {announcement: 0, fetch: 0};
	/** Names of the peers that each node fetched from. */
	readonly asked = new Map<string, Set<string>>();
	lossShare = 0;
	private readonly _clock: VirtualClock;
	private readonly _random: SeededRandom;
	private readonly _dead = new Set<string>();
	private _isCut: ((from: Host, to: Host) => boolean) | undefined;

	constructor(clock: VirtualClock, random: SeededRandom) {
		this._clock = clock;
		this._random = random;
		this.platform = new MemoryPlatform(clock, random);
	}

	/** Adds a node; it is not started. Every node's list shows every node, dead ones too. */
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

	/** Cuts hosts off from each other. */
	cut(isCut: (from: Host, to: Host) => boolean): void {
		this._isCut = isCut;
	}

	/** The node stops answering; nobody is told. */
	kill(node: FakeNode): void {
		this._dead.add(node.host.name);
		node.sync.dispose();
	}

	/** Nodes that are alive. */
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
		if (await this._travel(from, to)) {
			this._nodeOf(to)?.sync.onVersionAnnounced(from.name, version);
		}
	}

	private async _fetch(from: Host, to: Host, afterNumber: number, timeoutMs: number): Promise<Either<Refusal, ChangeBatch>> {
		this.messages.fetch += 2;
		this.asked.set(from.name, (this.asked.get(from.name) ?? new Set<string>()).add(to.name));
		if (await this._travel(from, to)) {
			const batch = this._nodeOf(to)?.sync.changesAfter(afterNumber);
			if (batch && await this._travel(to, from)) {
				return Right(batch);
			}
		}

		await this._wait(timeoutMs);
		return Left(new Refusal('peerUnavailable'));
	}

	/** Whether the message arrived. */
	private async _travel(from: Host, to: Host): Promise<boolean> {
		await this._wait(networkDelayMs);
		const isLost = this._random.next() < this.lossShare;
		return !isLost && !this._dead.has(to.name) && !this._dead.has(from.name) && !this._isCut?.(from, to);
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
