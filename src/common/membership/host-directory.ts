/**
 * The directory of hosts: what the platform's host list shows, what peers report about themselves,
 * and which hosts are reachable.
 */
import {Left, type Either} from 'purify-ts';
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter, type Event} from '../lifecycle/emitter.js';
import type {
	Clock, Host, HostList, Log, Membership, Metrics, PlatformFault, Random,
} from '../services/services.js';
import {
	membershipDefaults, renewalIntervalGrowth, unregisteredIntervalShare, type MembershipOptions,
} from './constants.js';
import {HomeMap, type EndpointInZone} from './home-map.js';
import {KnownHost} from './known-host.js';

/** Services that the directory uses. */
export type HostDirectoryServices = {
	readonly hostList: HostList;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** The known hosts and the homes that follow from them, as this node sees them. */
export class HostDirectory implements Membership, Disposable {
	private readonly _onChange = new Emitter<void>();
	private readonly _onRetryDue = new Emitter<Host>();
	private readonly _known = new Map<string, KnownHost>();
	private readonly _regions = new Map<string, string>();
	private readonly _options: MembershipOptions;
	private _self: Host;
	private _homes: HomeMap | undefined;
	private _hosts: readonly Host[] | undefined;
	private _timer: Disposable | undefined;
	private _retryTimer: Disposable | undefined;
	private _rounds = 0;
	/** The state of this host that the platform accepted as its registration; undefined after a failed one. */
	private _registered: Host | undefined;
	private _isListAvailable = true;
	/** Read interval in milliseconds at the time of this host's last registration. */
	private _registeredIntervalMs = 0;
	/** While this host starts, endpoints stay with the hosts that have them. */
	private _isStarting = false;
	private _isDisposed = false;

	constructor(
		self: Host,
		private readonly _services: HostDirectoryServices,
		options: Partial<MembershipOptions> = {},
	) {
		this._self = self;
		this._options = {...membershipDefaults, ...options};
		this._regions.set(self.availabilityZone, self.region);
	}

	get onChange(): Event<void> {
		return this._onChange.event;
	}

	/** Fires with a suspected host that should be checked for an answer again. */
	get onRetryDue(): Event<Host> {
		return this._onRetryDue.event;
	}

	get self(): Host {
		return this._self;
	}

	/** Withholds this host as home, in its own view only, until it knows enough of the other hosts. */
	beginStartUp(): void {
		this._isStarting = true;
		this._notifyChanged();
	}

	/** Makes this host eligible as home like the others. */
	endStartUp(): void {
		this._isStarting = false;
		this._notifyChanged();
	}

	/** Registers this host and reads the list, and repeats both until disposed; resolves after the first round. */
	async start(): Promise<void> {
		await this._runRound();
		this._scheduleRound();
	}

	hosts(): readonly Host[] {
		this._hosts ??= [this._self, ...[...this._known.values()].map(known => known.host)];
		return this._hosts;
	}

	host(name: string): Host | undefined {
		return name === this._self.name ? this._self : this._known.get(name)?.host;
	}

	/** Whether a host is suspected to be unreachable, and therefore not eligible as home. */
	isSuspected(name: string): boolean {
		return this._known.get(name)?.isSuspected ?? false;
	}

	homeOf(endpoint: EndpointInZone): Host | undefined {
		this._homes ??= this._createHomeMap();
		return this._homes.homeOf(endpoint);
	}

	reportReachability(name: string, isReachable: boolean): void {
		const known = this._known.get(name);
		if (!known) {
			return;
		}

		if (isReachable) {
			this._recordReachable(known);
		} else {
			this._recordUnreachable(known);
		}
	}

	learn(host: Host): void {
		if (host.name === this._self.name) {
			return;
		}

		const nowMs = this._services.clock.nowMs();
		const isNew = !this._known.has(host.name);
		if (this._getOrAdd(host).learn(host, nowMs) || isNew) {
			this._notifyChanged();
		}
	}

	leave(): void {
		if (this._self.isLeaving) {
			return;
		}

		this._self = {...this._self, isLeaving: true};
		this._notifyChanged();
		void this._register();
	}

	dispose(): void {
		this._isDisposed = true;
		this._timer?.dispose();
		this._retryTimer?.dispose();
		this._onChange.dispose();
		this._onRetryDue.dispose();
	}

	private _createHomeMap(): HomeMap {
		const ready = this.hosts().filter(host => !host.isLeaving && !this.isSuspected(host.name));
		const eligible = this._isWithheldAsHome(ready) ? ready.filter(host => host !== this._self) : ready;
		// A host that starts may not know yet which hosts serve another zone.
		const zoneBoundHost = this._isStarting ? this._self.name : undefined;
		return new HomeMap(eligible, zone => this._regions.get(zone), this._options.maximumMemoisedHomes, zoneBoundHost);
	}

	/**
	 * Whether this host is withheld as home while it starts. It is eligible all the same if it knows
	 * other hosts of its zone and none of them is ready.
	 */
	private _isWithheldAsHome(ready: readonly Host[]): boolean {
		const isOtherInZone = (host: Host) => host !== this._self && host.availabilityZone === this._self.availabilityZone;
		return this._isStarting && (ready.some(host => isOtherInZone(host)) || !this.hosts().some(host => isOtherInZone(host)));
	}

	private async _runRound(): Promise<void> {
		const isRegistrationDue = this._registered !== this._self || this._rounds % this._options.readsPerRegistration === 0;
		this._rounds++;
		await Promise.all([this._read(), isRegistrationDue ? this._register() : undefined]);
		// A registration lasts for several read intervals. One made before many hosts were known would expire too early.
		if (!this._isDisposed && this._intervalMs() > this._registeredIntervalMs * renewalIntervalGrowth) {
			await this._register();
		}
	}

	/** Interval between two reads in milliseconds, without jitter. */
	private _intervalMs(): number {
		const {readIntervalMs, readIntervalPerHostMs} = this._options;
		return Math.max(readIntervalMs, readIntervalPerHostMs * this.hosts().length);
	}

	private _scheduleRound(): void {
		if (this._isDisposed) {
			return;
		}

		const {readIntervalMs, jitter} = this._options;
		const factor = 1 + (jitter * ((2 * this._services.random.next()) - 1));
		// A host whose registration is missing or outdated in the list tries again sooner than the next read is due.
		const hasRegistered = this._registered === this._self;
		const intervalMs = hasRegistered ? this._intervalMs() : Math.max(readIntervalMs, this._intervalMs() * unregisteredIntervalShare);
		this._timer = this._services.clock.setTimer(intervalMs * factor, () => {
			void this.start();
		});
	}

	private async _read(): Promise<void> {
		const listed = await this._withReadTimeout(async () => this._services.hostList.read());
		if (this._isDisposed) {
			return;
		}

		this._recordAvailability(listed);
		listed.ifRight(hosts => {
			this._mergeList(hosts);
		});
	}

	private async _register(): Promise<void> {
		const host = this._self;
		this._registeredIntervalMs = this._intervalMs();
		const registered = await this._withReadTimeout(async () => this._services.hostList.register(host));
		registered.ifRight(() => {
			this._registered = host;
		}).ifLeft(fault => {
			this._registered = undefined;
			this._services.log.event('hostRegistrationFailed', {fault: fault.kind, detail: fault.detail});
		});
	}

	/** Limits a call to the platform to `readTimeoutMs`, since it may hang. */
	private async _withReadTimeout<T>(call: () => Promise<Either<PlatformFault, T>>): Promise<Either<PlatformFault, T>> {
		let timer: Disposable | undefined;
		const timedOut = new Promise<Either<PlatformFault, T>>(resolve => {
			timer = this._services.clock.setTimer(this._options.readTimeoutMs, () => {
				resolve(Left({kind: 'unavailable', detail: 'no answer in time'}));
			});
		});
		try {
			return await Promise.race([call(), timedOut]);
		} catch (error) {
			return Left({kind: 'unavailable', detail: String(error)});
		} finally {
			timer?.dispose();
		}
	}

	private _recordAvailability(listed: Either<PlatformFault, readonly Host[]>): void {
		const isAvailable = listed.isRight();
		this._services.metrics.count('hostListReadsTotal', {outcome: isAvailable ? 'read' : 'failed'});
		if (isAvailable !== this._isListAvailable) {
			this._isListAvailable = isAvailable;
			this._services.log.event(isAvailable ? 'hostListRead' : 'hostListUnavailable');
		}
	}

	private _mergeList(listed: readonly Host[]): void {
		const nowMs = this._services.clock.nowMs();
		const shown = new Map(listed.map(host => [host.name, host]));
		shown.delete(this._self.name);
		const added = [...shown.values()].filter(host => !this._known.has(host.name));
		for (const host of added) {
			this._getOrAdd(host);
		}

		let isChanged = added.length > 0;
		for (const [name, known] of this._known) {
			isChanged = known.applyListing(shown.get(name), nowMs) || isChanged;
			if (!known.isRetained(nowMs)) {
				this._known.delete(name);
				isChanged = true;
			}
		}

		if (isChanged) {
			this._notifyChanged();
		}
	}

	/** The entry of a host, created if there is none. */
	private _getOrAdd(host: Host): KnownHost {
		this._regions.set(host.availabilityZone, host.region);
		const known = this._known.get(host.name) ?? new KnownHost(host, this._options);
		this._known.set(host.name, known);
		return known;
	}

	private _recordReachable(known: KnownHost): void {
		known.heard(this._services.clock.nowMs());
		if (known.clearSuspicion()) {
			this._services.log.event('hostTrusted', {host: known.host.name});
			this._notifyChanged();
			this._scheduleRetry();
		}
	}

	private _recordUnreachable(known: KnownHost): void {
		if (known.failed(this._services.clock.nowMs())) {
			this._services.log.event('hostSuspected', {host: known.host.name});
			this._notifyChanged();
		}

		this._scheduleRetry();
	}

	private _notifyChanged(): void {
		this._homes = undefined;
		this._hosts = undefined;
		const suspected = [...this._known.values()].filter(known => known.isSuspected);
		this._services.metrics.gauge('hostsKnown', this._known.size + 1);
		this._services.metrics.gauge('hostsSuspected', suspected.length);
		this._onChange.fire();
	}

	/** Sets one timer for all suspected hosts to the time of the retry that is due first. */
	private _scheduleRetry(): void {
		this._retryTimer?.dispose();
		this._retryTimer = undefined;
		const due = [...this._known.values()].filter(known => known.isSuspected).map(known => known.retryAtMs);
		if (due.length === 0 || this._isDisposed) {
			return;
		}

		const delayMs = Math.max(0, Math.min(...due) - this._services.clock.nowMs());
		this._retryTimer = this._services.clock.setTimer(delayMs, () => {
			this._retryDueHosts();
		});
	}

	private _retryDueHosts(): void {
		const nowMs = this._services.clock.nowMs();
		for (const known of [...this._known.values()].filter(known => known.isSuspected && known.retryAtMs <= nowMs)) {
			if (known.isSuspicionExpired(nowMs)) {
				this._recordReachable(known);
				continue;
			}

			// The next report decides whether the suspicion ends or goes on; without any report it expires.
			known.recordRetry(nowMs);
			this._onRetryDue.fire(known.host);
		}

		this._scheduleRetry();
	}
}
