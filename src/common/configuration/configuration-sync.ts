/**
 * Propagates the configuration between nodes. A few nodes of each zone poll the table; a new
 * version is announced along two trees within each zone; and every node compares its version
 * with one of a few peers each second (anti-entropy), which repairs missed announcements.
 */
import type {Either} from 'purify-ts';
import {DisposableStore, toDisposable, type Disposable} from '../lifecycle/disposable.js';
import {
	childrenOf, fanOutOrder, rootsOf,
} from '../membership/fan-out.js';
import type {
	ChangeBatch, Clock, Host, Log, Membership, Metrics, Peers, PlatformFault, Random,
} from '../services/services.js';
import type {ChangeHistory} from './change-history.js';
import type {ConfigurationLog} from './configuration-log.js';
import {ChangePuller} from './change-puller.js';
import {AntiEntropyPeers} from './anti-entropy-peers.js';
import {syncDefaults} from './constants.js';

/** What the synchronisation needs from the rest of the node. */
export type ConfigurationSyncServices = {
	readonly history: ChangeHistory;
	readonly changeLog: Pick<ConfigurationLog, 'catchUp' | 'onAccepted'>;
	readonly membership: Pick<Membership, 'self' | 'hosts'>;
	readonly peers: Pick<Peers, 'fetchChanges' | 'announceVersion'>;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Key of the fan-out order that decides which nodes of a zone poll; no version's tree uses it, as changes count from one. */
const pollOrderKey = 0;

/** Keys of the two trees of each version; the second tree has another order of nodes, so that a dead node does not cut the same others off in both. */
const treeKeys: ReadonlyArray<(version: number) => number> = [version => version, version => -version];

/** A promise that is resolved from outside. */
class Gate {
	readonly opened: Promise<void>;
	private _resolve: (() => void) | undefined;

	constructor() {
		this.opened = new Promise(resolve => {
			this._resolve = resolve;
		});
	}

	open(): void {
		this._resolve?.();
	}
}

/** Keeps this node's configuration at the newest version that the table or a peer can provide. */
export class ConfigurationSync implements Disposable {
	/** Resolves once the table has answered or a peer has provided changes, so that the configuration can be used. */
	readonly loaded: Promise<void>;
	private readonly _services: ConfigurationSyncServices;
	private readonly _options: typeof syncDefaults;
	private readonly _disposables = new DisposableStore();
	private readonly _puller: ChangePuller;
	private readonly _antiEntropyPeers: AntiEntropyPeers;
	private _isLoaded = false;
	private readonly _loadedGate = new Gate();
	private _comparisons = 0;
	private _quickComparisons = 0;
	private _isTableLost = false;

	constructor(services: ConfigurationSyncServices, options: Partial<typeof syncDefaults> = {}) {
		this._services = services;
		this._options = {...syncDefaults, ...options};
		this.loaded = this._loadedGate.opened;
		this._puller = this._disposables.register(new ChangePuller(services, this._options));
		this._antiEntropyPeers = new AntiEntropyPeers({
			...services,
			hosts: () => services.membership.hosts(),
			randomPeer: isAnyZone => this._puller.randomPeer(isAnyZone),
		}, this._options.partnerKeptMs);
	}

	get isLoaded(): boolean {
		return this._isLoaded;
	}

	/** Starts to load the configuration and then to follow its changes. */
	start(): void {
		const {history, changeLog} = this._services;
		this._disposables.register(history.onChange(version => {
			this._propagate(version);
		}));
		this._disposables.register(changeLog.onAccepted(version => {
			this._announceToRoots(version, this._services.membership.hosts());
		}));
		void this._run();
	}

	/** The changes after a number, as the answer to a peer that fetches them. */
	changesAfter(afterNumber: number): ChangeBatch {
		return this._services.history.changesAfter(afterNumber);
	}

	/** Handles the announcement by a peer that changes up to a version exist. */
	onVersionAnnounced(from: string, version: number): void {
		const {history, membership} = this._services;
		const source = membership.hosts().find(host => host.name === from);
		if (version <= history.version || source === undefined) {
			return;
		}

		void this._puller.pull(source, version);
	}

	dispose(): void {
		this._disposables.dispose();
	}

	private async _run(): Promise<void> {
		await this._load();
		await Promise.all([this._pollRepeatedly(), this._compareRepeatedly()]);
	}

	/** Loads from peers first, so that many nodes that start at once put no load on the platform. */
	private async _load(): Promise<void> {
		while (!this._disposables.isDisposed) {
			await this._fetchFromStartPeers();
			const isKnown = this._services.history.version > 0 || await this._pollTable();

			if (isKnown) {
				this._isLoaded = true;
				this._loadedGate.open();
				return;
			}

			await this._sleep(this._options.pollIntervalMs);
		}
	}

	private async _fetchFromStartPeers(): Promise<void> {
		const chosen = new Set<Host>();
		for (let count = 0; count < this._options.startPeers; count++) {
			const host = this._puller.randomPeer(count > 0);
			if (host) {
				chosen.add(host);
			}
		}

		await Promise.all([...chosen].map(async host => this._puller.fetchFrom(host)));
	}

	private async _pollRepeatedly(): Promise<void> {
		while (!this._disposables.isDisposed) {
			await this._sleep(this._jittered(this._options.pollIntervalMs));
			if (!this._disposables.isDisposed && this._isPoller()) {
				await this._pollTable();
			}
		}
	}

	private async _compareRepeatedly(): Promise<void> {
		while (!this._disposables.isDisposed) {
			const isQuick = this._quickComparisons > 0;
			await this._sleep(this._jittered(this._comparisonIntervalMs()));
			this._comparisons++;
			const turn = this._comparisons % this._options.antiEntropyAnyZoneEvery;
			const host = isQuick ? this._puller.randomPeer(turn === 0) : this._antiEntropyPeers.peerFor(turn);
			if (!this._disposables.isDisposed && host && !await this._compareWith(host)) {
				this._antiEntropyPeers.drop(turn);
			}
		}
	}

	private _comparisonIntervalMs(): number {
		const {quickIntervalMs, antiEntropyIntervalMs} = this._options;
		if (this._quickComparisons === 0) {
			return antiEntropyIntervalMs;
		}

		this._quickComparisons--;
		return quickIntervalMs;
	}

	/** Fetches the changes that the peer has and this node lacks, or announces the own version if the peer lags behind; whether the peer answered. */
	private async _compareWith(host: Host): Promise<boolean> {
		const answered = await this._puller.fetchFrom(host);
		const known = answered ?? await this._fetchFromAnotherPeer();
		const {version} = this._services.history;
		if (known !== undefined && known < version) {
			this._announce(host, version);
		}

		return answered !== undefined;
	}

	/** Fetches from another peer at once when the first did not answer, so that this round is not lost. */
	private async _fetchFromAnotherPeer(): Promise<number | undefined> {
		const host = this._puller.randomPeer(false);
		return this._disposables.isDisposed || host === undefined ? undefined : this._puller.fetchFrom(host);
	}

	/** Whether this node is among the first of its zone's fixed order, which poll the table; a node that its own host list does not contain polls too. */
	private _isPoller(): boolean {
		const {self, hosts} = this._membership();
		const order = fanOutOrder(hosts, self.availabilityZone, pollOrderKey);
		const index = order.findIndex(host => host.name === self.name);
		return index < this._options.pollersPerZone;
	}

	/** Reads new changes from the table; whether it answered within the timeout. */
	private async _pollTable(): Promise<boolean> {
		this._count('poll');
		const result = await Promise.race([
			this._services.changeLog.catchUp(),
			this._sleep(this._options.tableTimeoutMs),
		]);
		const isAnswered = isRight(result);
		this._updateTableStatus(isAnswered);
		return isAnswered;
	}

	private _updateTableStatus(isAnswered: boolean): void {
		if (this._isTableLost === isAnswered) {
			this._isTableLost = !isAnswered;
			this._services.log.event(isAnswered ? 'configurationTableFound' : 'configurationTableLost', {version: this._services.history.version});
		}
	}

	/** Announces a new version once to the children of this node in both trees. */
	private _propagate(version: number): void {
		this._services.metrics.gauge('configurationVersion', version);
		this._quickComparisons = this._options.quickComparisons;
		const {self, hosts} = this._membership();
		for (const key of treeKeys) {
			for (const host of childrenOf(hosts, self, key(version))) {
				this._announce(host, version);
			}
		}

		// A version that no peer announced was found in the table or by a comparison: the zone may not know it yet.
		if (version > this._puller.announcedVersion) {
			this._announceToRoots(version, hosts.filter(host => host.availabilityZone === self.availabilityZone));
		}
	}

	private _announceToRoots(version: number, hosts: readonly Host[]): void {
		const {self} = this._membership();
		const roots = new Set(treeKeys.flatMap(key => rootsOf(hosts, key(version))));
		for (const host of roots) {
			if (host.name !== self.name) {
				this._announce(host, version);
			}
		}
	}

	private _announce(host: Host, version: number): void {
		this._count('announcement');
		this._services.peers.announceVersion(host, version);
	}

	private _membership(): {readonly self: Host; readonly hosts: readonly Host[]} {
		const {membership} = this._services;
		return {self: membership.self, hosts: membership.hosts()};
	}

	private _jittered(intervalMs: number): number {
		return intervalMs * (0.9 + (0.2 * this._services.random.next()));
	}

	private _count(kind: string): void {
		this._services.metrics.count('configurationSyncMessagesTotal', {kind});
	}

	/** Resolves after a delay, or at once on disposal. */
	private async _sleep(delayMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = this._disposables.register(toDisposable(() => {
				timer.dispose();
				resolve();
			}));
			const timer = this._services.clock.setTimer(delayMs, () => {
				this._disposables.release(wake);
				resolve();
			});
		});
	}
}

function isRight(result: Either<PlatformFault, number> | void): boolean {
	return result?.isRight() ?? false;
}
