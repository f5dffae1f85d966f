/**
 * The endpoints that registered themselves in the store, as far as this node has heard.
 * Only a hint: what an endpoint says when asked goes before it.
 */
import type {Either} from 'purify-ts';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {
	EndpointRegistration, PlatformFault, RegisteredEndpoint, RowFormats, RowStore, StoredRow,
} from '../services/services.js';
import {groupBy} from '../configuration/group-by.js';
import {eraOf} from '../store/store-version.js';
import type {FollowedTable, FollowerServices, TableSubscriber} from './table-follower.js';
import {TableFollower} from './table-follower.js';

/** What tells the starts of an endpoint apart, and the store's era in which it was known last. */
type EndpointStart = Pick<EndpointRegistration, 'startedAtMs' | 'reportNumber'> & {readonly incarnation: number; readonly era: number};

/** What showed that an endpoint started again. */
type RestartSign = 'startTime' | 'reportNumber';

/** Follows the registrations. */
export class EndpointRegistry implements TableSubscriber, Disposable {
	/** Fires with the name of a service whose endpoints changed. */
	readonly onChange: Event<string>;
	/**
	 * Fires with an endpoint that started again under its id, or whose registration appeared
	 * among others that were known: a promotion may have begun without it.
	 */
	readonly onReturn: Event<RegisteredEndpoint>;

	private readonly _services: FollowerServices;
	private readonly _formats: RowFormats;
	private readonly _follower: TableFollower;
	private readonly _onChange = new Emitter<string>();
	private readonly _onReturn = new Emitter<RegisteredEndpoint>();
	private readonly _endpoints = new Map<string, RegisteredEndpoint>();
	/** The latest start of each endpoint, by id; those that are gone may come back. */
	private readonly _starts = new Map<string, EndpointStart>();
	/** Endpoints whose registrations are gone, by id, and since when. */
	private readonly _lapsed = new Map<string, {readonly endpoint: RegisteredEndpoint; readonly sinceMs: number}>();
	/** Keys whose registrations cannot be read; each is logged once. */
	private readonly _unreadable = new Set<string>();
	/** The same by service: every statement asks for them. */
	private _byService = new Map<string, readonly RegisteredEndpoint[]>();
	/** Timers of endpoints that a snapshot lacked and that may come back, by id. */
	private readonly _pendingRemovals = new Map<string, Disposable>();
	private _isLoaded = false;

	constructor(services: FollowerServices, formats: RowFormats) {
		this.onChange = this._onChange.event;
		this.onReturn = this._onReturn.event;
		this._services = services;
		this._formats = formats;
		this._follower = new TableFollower(formats.endpointTable, this, services);
	}

	/** Whether the table was read once. */
	get isLoaded(): boolean {
		return this._isLoaded;
	}

	/** What is followed, for other nodes. */
	get followed(): FollowedTable {
		return this._follower;
	}

	/** Whether the store could not be asked the last time. */
	get isStoreUnavailable(): boolean {
		return this._follower.isUnavailable;
	}

	/** Starts to follow; the task ends when the registry is disposed. */
	start(): void {
		void this._follower.run();
	}

	/** Endpoints of a service, those that are draining included. */
	ofService(service: string): readonly RegisteredEndpoint[] {
		return this._byService.get(service) ?? [];
	}

	/** Endpoints of a service whose registrations went a moment ago: they may live behind a cut. */
	lapsed(service: string): readonly RegisteredEndpoint[] {
		const {clock, options} = this._services;
		return [...this._lapsed.values()]
			.filter(({endpoint, sinceMs}) => endpoint.service === service && clock.nowMs() - sinceMs < options.lapsedForMs)
			.map(({endpoint}) => endpoint);
	}

	/** Ids of a service's endpoints that the store holds at this moment, whatever this node has heard. */
	async readIds(store: RowStore, service: string): Promise<Either<PlatformFault, string[]>> {
		const read = await store.read(this._formats.endpointTable, '');
		return read.map(({rows}) => rows
			.filter(({key, value}) => value !== undefined && this._formats.decodeEndpoint(key, value)?.service === service)
			.map(({key}) => key));
	}

	/** An endpoint by its id. */
	endpoint(id: string): RegisteredEndpoint | undefined {
		return this._endpoints.get(id);
	}

	applySnapshot(rows: readonly StoredRow[]): void {
		const present = new Set(rows.map(({key}) => key));
		for (const key of [...this._endpoints.keys(), ...this._unreadable]) {
			if (!present.has(key)) {
				this._unreadable.delete(key);
				this._scheduleRemoval(key);
			}
		}

		for (const row of rows) {
			this.applyRow(row);
		}

		this._isLoaded = true;
	}

	applyRow({key, value, version}: StoredRow): void {
		if (value === undefined) {
			this._unreadable.delete(key);
			this._scheduleRemoval(key);
			return;
		}

		const registration = this._formats.decodeEndpoint(key, value);
		if (registration) {
			this._unreadable.delete(key);
			this._cancelRemoval(key);
			this._applyRegistration(registration, eraOf(version));
		} else {
			this._noteUnreadable(key);
		}
	}

	dispose(): void {
		this._follower.dispose();
		this._onChange.dispose();
		this._onReturn.dispose();
		for (const timer of this._pendingRemovals.values()) {
			timer.dispose();
		}
	}

	/**
	 * Whether an entry that is gone may have lapsed because the store was away. Such removals
	 * arrive right after its return: a primary that lived was dropped, with its connections.
	 */
	private get _isInReturnGrace(): boolean {
		return this._follower.isUnavailable || this._follower.recoveredForMs < this._services.options.returnGraceMs;
	}

	/** Nobody knows what runs there until its endpoint, if it lives, has said so again. */
	private _noteUnreadable(key: string): void {
		this._remove(key);
		if (!this._unreadable.has(key)) {
			this._unreadable.add(key);
			this._services.log.event('registrationUnreadable', {key});
		}
	}

	private _applyRegistration({startedAtMs, reportNumber, ...rest}: EndpointRegistration, era: number): void {
		const before = this._starts.get(rest.id);
		if (isOfEarlierStart(startedAtMs, before) || this._isOutdatedByRestore({startedAtMs, reportNumber, era}, rest.id, before)) {
			// A write of the earlier process that took effect late, or one that is known to be outdated.
			return;
		}

		const sign = before && restartSign({startedAtMs, reportNumber}, before);
		const incarnation = (before?.incarnation ?? 0) + (sign ? 1 : 0);
		this._noteStart(rest.id, {
			startedAtMs: startedAtMs ?? before?.startedAtMs, reportNumber, incarnation, era,
		});
		const endpoint: RegisteredEndpoint = {...rest, incarnation};
		const isNew = this._isLoaded && !this._endpoints.has(endpoint.id);
		this._lapsed.delete(endpoint.id);
		this._upsert(endpoint);
		if (sign) {
			this._services.log.event('endpointRestarted', {
				endpoint: endpoint.id, service: endpoint.service, sign, startedAtMs,
			});
		}

		if (isNew || sign !== undefined) {
			this._onReturn.fire(endpoint);
		}
	}

	/**
	 * Whether a row stood in the copy from which the store came back, while more is known of its
	 * endpoint, or that it is gone. An endpoint that lives says more within the grace time.
	 */
	private _isOutdatedByRestore({startedAtMs, reportNumber, era}: Omit<EndpointStart, 'incarnation'>, id: string, before: EndpointStart | undefined): boolean {
		if (!before || era <= before.era || this._follower.recoveredForMs >= this._services.options.returnGraceMs) {
			return false;
		}

		const isSameStart = startedAtMs === undefined || before.startedAtMs === undefined || startedAtMs === before.startedAtMs;
		const isOutdated = reportNumber < before.reportNumber || (reportNumber === before.reportNumber && !this._endpoints.has(id));
		return isSameStart && isOutdated;
	}

	private _noteLapse(endpoint: RegisteredEndpoint): void {
		const {clock, options} = this._services;
		const nowMs = clock.nowMs();
		for (const [id, {sinceMs}] of this._lapsed) {
			if (nowMs - sinceMs >= options.lapsedForMs) {
				this._lapsed.delete(id);
			}
		}

		this._lapsed.set(endpoint.id, {endpoint, sinceMs: nowMs});
	}

	private _noteStart(id: string, start: EndpointStart): void {
		this._starts.delete(id);
		this._starts.set(id, start);
		if (this._starts.size > this._services.options.rememberedStarts) {
			const [oldest] = this._starts.keys();
			this._starts.delete(oldest);
		}
	}

	private _upsert(endpoint: RegisteredEndpoint): void {
		const known = this._endpoints.get(endpoint.id);
		if (known && isSameRegistration(known, endpoint)) {
			return;
		}

		this._endpoints.set(endpoint.id, endpoint);
		this._rebuildIndex();

		const {id, service, isDraining, claimsPrimary} = endpoint;
		this._services.log.event('endpointRegistered', {
			endpoint: id, service, isDraining, claimsPrimary, availabilityZone: endpoint.availabilityZone,
		});
		this._onChange.fire(service);
	}

	private _rebuildIndex(): void {
		this._byService = groupBy(this._endpoints.values(), ({service}) => service);
	}

	/** Entries may lapse falsely while the store is away; then an endpoint gets time to return. */
	private _scheduleRemoval(id: string): void {
		if (!this._endpoints.has(id) || this._pendingRemovals.has(id)) {
			return;
		}

		if (!this._isInReturnGrace) {
			this._remove(id);
			return;
		}

		const {clock, options} = this._services;
		this._pendingRemovals.set(id, clock.setTimer(options.returnGraceMs, () => {
			this._remove(id);
		}));
	}

	private _cancelRemoval(id: string): void {
		this._pendingRemovals.get(id)?.dispose();
		this._pendingRemovals.delete(id);
	}

	private _remove(id: string): void {
		this._cancelRemoval(id);
		const endpoint = this._endpoints.get(id);
		if (endpoint) {
			this._endpoints.delete(id);
			this._noteLapse(endpoint);
			this._rebuildIndex();
			this._services.log.event('endpointGone', {endpoint: id, service: endpoint.service});
			this._onChange.fire(endpoint.service);
		}
	}
}

function isSameRegistration(a: RegisteredEndpoint, b: RegisteredEndpoint): boolean {
	return a.service === b.service && a.host === b.host && a.port === b.port && a.isDraining === b.isDraining
		&& a.claimsPrimary === b.claimsPrimary && a.slots === b.slots && a.availabilityZone === b.availabilityZone
		&& a.incarnation === b.incarnation;
}

function isOfEarlierStart(startedAtMs: number | undefined, known: EndpointStart | undefined): boolean {
	return startedAtMs !== undefined && known?.startedAtMs !== undefined && startedAtMs < known.startedAtMs;
}

/** A later start time, or, where endpoints say none, a count of reports that began anew. */
function restartSign(now: Pick<EndpointStart, 'startedAtMs' | 'reportNumber'>, before: EndpointStart): RestartSign | undefined {
	if (now.startedAtMs !== undefined && before.startedAtMs !== undefined) {
		return now.startedAtMs > before.startedAtMs ? 'startTime' : undefined;
	}

	return now.reportNumber < before.reportNumber ? 'reportNumber' : undefined;
}
