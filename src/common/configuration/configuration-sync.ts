/**
 * Spreads the configuration between nodes. A few nodes of each zone poll the table; a new
 * number is announced along trees within each zone; and every node compares itself with one
 * of a few peers each second, which mends what announcements missed.
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

/** Key of the order in which a zone's nodes poll; no change has the number zero. */
const pollOrderKey = 0;

/** Each version has two trees; the keys of the second are negative. */
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

/** Keeps this node's configuration at the newest that can be reached. */
export class ConfigurationSync implements Disposable {
	/** Resolves once the table or a peer has answered, so that the configuration means something. */
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

	/** Begins to load and then to follow. */
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

	/** Answers a peer that asks for changes. */
	changesAfter(afterNumber: number): ChangeBatch {
		return this._services.history.changesAfter(afterNumber);
	}

	/** A peer says that changes up to a number exist. */
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

	/** Peers first, which costs the platform nothing when many nodes start at once. */
	private async _load(): Promise<void> {
		while (!this._disposables.isDisposed) {
			await this._askStartPeers();
			const isKnown = this._services.history.version > 0 || await this._pollTable();

			if (isKnown) {
				this._isLoaded = true;
				this._loadedGate.open();
				return;
			}

			await this._sleep(this._options.pollIntervalMs);
		}
	}

	private async _askStartPeers(): Promise<void> {
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

	/** Learns what the peer has more, or tells it that this node has more; whether it answered. */
	private async _compareWith(host: Host): Promise<boolean> {
		const answered = await this._puller.fetchFrom(host);
		const known = answered ?? await this._askAnother();
		const {version} = this._services.history;
		if (known !== undefined && known < version) {
			this._announce(host, version);
		}

		return answered !== undefined;
	}

	/** The peer did not answer: another is asked at once, since this round would be lost otherwise. */
	private async _askAnother(): Promise<number | undefined> {
		const host = this._puller.randomPeer(false);
		return this._disposables.isDisposed || host === undefined ? undefined : this._puller.fetchFrom(host);
	}

	/** The first few of a zone's fixed order poll; a node that the list does not show polls too. */
	private _isPoller(): boolean {
		const {self, hosts} = this._membership();
		const order = fanOutOrder(hosts, self.availabilityZone, pollOrderKey);
		const place = order.findIndex(host => host.name === self.name);
		return place < this._options.pollersPerZone;
	}

	/** Whether the table answered in time. */
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

	/** Passes a new number on once, along both trees. */
	private _propagate(version: number): void {
		this._services.metrics.gauge('configurationVersion', version);
		this._quickComparisons = this._options.quickComparisons;
		const {self, hosts} = this._membership();
		for (const key of treeKeys) {
			for (const host of childrenOf(hosts, self, key(version))) {
				this._announce(host, version);
			}
		}

		// What nobody announced was found in the table or by comparing: the zone may not know it yet.
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

	/** Resolves after a time, or at once when this ends. */
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
