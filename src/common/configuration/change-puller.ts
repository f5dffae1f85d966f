/**
 * Fetches configuration changes from peers. At most one announced version is being pulled at a time.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {randomPeer} from '../membership/fan-out.js';
import type {
	ChangeBatch, Host, Membership, Metrics, Peers, Random,
} from '../services/services.js';
import type {ChangeHistory} from './change-history.js';
import type {syncDefaults} from './constants.js';

/** What the puller needs from the rest of the node. */
export type ChangePullerServices = {
	readonly history: ChangeHistory;
	readonly membership: Pick<Membership, 'self' | 'hosts'>;
	readonly peers: Pick<Peers, 'fetchChanges'>;
	readonly random: Random;
	readonly metrics: Metrics;
};

/** Fetches and applies the changes that peers have and this node lacks. */
export class ChangePuller implements Disposable {
	private readonly _services: ChangePullerServices;
	private readonly _options: typeof syncDefaults;
	private _announcedVersion = 0;
	private _isPulling = false;
	private _nextSource: Host | undefined;
	private _isDisposed = false;

	constructor(services: ChangePullerServices, options: typeof syncDefaults) {
		this._services = services;
		this._options = options;
	}

	/** Highest version that a peer has announced; zero before the first. */
	get announcedVersion(): number {
		return this._announcedVersion;
	}

	/** Pulls an announced version from the peer that announced it, and retries with random peers while it is missing. */
	async pull(source: Host, version: number): Promise<void> {
		this._announcedVersion = Math.max(this._announcedVersion, version);
		this._nextSource = source;
		if (this._isPulling) {
			return;
		}

		this._isPulling = true;
		for (let attempt = 1; attempt <= this._options.pullAttempts && this._isBehind(); attempt++) {
			const host: Host | undefined = this._nextSource ?? this.randomPeer(attempt % 2 === 0);
			this._nextSource = undefined;
			if (host) {
				await this.fetchFrom(host);
			}
		}

		this._isPulling = false;
	}

	/** Fetches every change that a peer has, batch by batch; returns the peer's version, or undefined when it did not answer. */
	async fetchFrom(host: Host): Promise<number | undefined> {
		const {history, peers, metrics} = this._services;
		for (;;) {
			const before = history.version;
			metrics.count('configurationSyncMessagesTotal', {kind: 'fetch'});
			const answer = await peers.fetchChanges(host, before, this._options.fetchTimeoutMs);
			const batch = answer.isRight() ? answer.unsafeCoerce() : undefined;
			if (batch === undefined || this._isDisposed) {
				return undefined;
			}

			this._apply(batch);
			if (history.version >= batch.version || history.version === before) {
				return batch.version;
			}
		}
	}

	/** A random peer of the own zone, or of any zone if asked for or if the own zone has no other node. */
	randomPeer(isAnyZone: boolean): Host | undefined {
		const {membership, random} = this._services;
		const {self} = membership;
		const hosts = membership.hosts();
		const ofZone = hosts.filter(host => host.availabilityZone === self.availabilityZone);
		const ofOwnZone = isAnyZone ? undefined : randomPeer(ofZone, self.name, random);
		return ofOwnZone ?? randomPeer(hosts, self.name, random);
	}

	dispose(): void {
		this._isDisposed = true;
	}

	private _isBehind(): boolean {
		return !this._isDisposed && this._announcedVersion > this._services.history.version;
	}

	private _apply(batch: ChangeBatch): void {
		const {history} = this._services;
		if (batch.snapshot !== undefined) {
			history.applySnapshot(batch.snapshot);
		}

		history.applyChanges(batch.changes);
	}
}
