/**
 * The endpoints that are registered in the store, as far as this node knows. A registration is only a
 * hint: the status that an endpoint reports takes precedence.
 */
import type {Either} from 'purify-ts';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {
	EndpointRegistration, PlatformFault, RegisteredEndpoint, RowFormats, RowStore, StoredRow,
} from '../services/services.js';
import {groupBy} from '../configuration/group-by.js';
import type {Moment} from '../lifecycle/moment.js';
import {momentAgeMs} from '../lifecycle/moment.js';
import {eraOf} from '../store/store-version.js';
import {RegistrationDecoder} from './registration-decoder.js';
import type {FollowedTable, FollowerServices, TableSubscriber} from './table-follower.js';
import {TableFollower} from './table-follower.js';

/** Identifies a start of an endpoint; `era` is the store's era in which it was last observed. */
type EndpointStart = Pick<EndpointRegistration, 'startedAtMs' | 'reportNumber'> & {readonly incarnation: number; readonly era: number};

/** A report of an endpoint, that is, a version of its registration. */
type Report = {
	readonly version: number;
	/** A moment before the report was written; undefined if none is known. */
	readonly writtenAfter: Moment | undefined;
};

/** Which field showed that an endpoint restarted. */
type RestartSign = 'startTime' | 'reportNumber';

/** Follows the table of endpoint registrations. */
export class EndpointRegistry implements TableSubscriber, Disposable {
	/** Fires with the name of a service whose endpoints have changed. */
	readonly onChange: Event<string>;
	/**
	 * Fires with an endpoint that restarted under its id, or whose registration appeared after the
	 * first read of the table: a promotion may have begun without fencing it.
	 */
	readonly onReturn: Event<RegisteredEndpoint>;

	private readonly _services: FollowerServices;
	private readonly _formats: RowFormats;
	private readonly _decoder: RegistrationDecoder;
	private readonly _follower: TableFollower;
	private readonly _onChange = new Emitter<string>();
	private readonly _onReturn = new Emitter<RegisteredEndpoint>();
	private readonly _endpoints = new Map<string, RegisteredEndpoint>();
	/** The latest start of each endpoint, by id, including endpoints that are gone and may return. */
	private readonly _starts = new Map<string, EndpointStart>();
	/** Endpoints whose registrations have lapsed, by id, and since when. */
	private readonly _lapsed = new Map<string, {readonly endpoint: RegisteredEndpoint; readonly sinceMs: number}>();
	/** When this node learned of each registration, by id; a registration that lapsed and returned counts from its return. */
	private readonly _registeredAtMs = new Map<string, number>();
	/** The last report of each endpoint, by id. */
	private readonly _reports = new Map<string, Report>();
	/** Era of the store in which the whole table was last read. */
	private _era: number | undefined;
	/** Keys and versions of rows that cannot be decoded; each key is logged once, and no row is decoded twice. */
	private readonly _unreadable = new Map<string, number>();
	/** Registered endpoints by service; an index, since every statement looks them up. */
	private _byService = new Map<string, readonly RegisteredEndpoint[]>();
	/** Removal timers of endpoints whose registrations are missing and may return, by id. */
	private readonly _pendingRemovals = new Map<string, Disposable>();
	private _isLoaded = false;

	constructor(services: FollowerServices, formats: RowFormats) {
		this.onChange = this._onChange.event;
		this.onReturn = this._onReturn.event;
		this._services = services;
		this._formats = formats;
		this._decoder = new RegistrationDecoder(formats);
		this._follower = new TableFollower(formats.endpointTable, this, services, {
			isRepetition: (key, known, value) => this._decoder.isRepeated(key, known, value),
		});
	}

	/** Whether the table has been read at least once. */
	get isLoaded(): boolean {
		return this._isLoaded;
	}

	/** The followed table, for serving its changes to other nodes. */
	get followed(): FollowedTable {
		return this._follower;
	}

	/** Whether the last request to the store failed. */
	get isStoreUnavailable(): boolean {
		return this._follower.isUnavailable;
	}

	/** Starts to follow the table, until the registry is disposed. */
	start(): void {
		void this._follower.run();
	}

	/** Returns the registered endpoints of a service, including those that are draining. */
	ofService(service: string): readonly RegisteredEndpoint[] {
		return this._byService.get(service) ?? [];
	}

	/**
	 * Returns the endpoints of a service whose registrations lapsed within `lapsedForMs`: they may be
	 * alive behind a network partition.
	 */
	lapsedEndpoints(service: string): readonly RegisteredEndpoint[] {
		const {clock, options} = this._services;
		return [...this._lapsed.values()]
			.filter(({endpoint, sinceMs}) => endpoint.service === service && clock.nowMs() - sinceMs < options.lapsedForMs)
			.map(({endpoint}) => endpoint);
	}

	/**
	 * Returns whether an endpoint is registered and has certainly written its registration within a time in
	 * milliseconds. A registration that was read for the first time may be of any age.
	 */
	hasReportedWithin(id: string, ageMs: number): boolean {
		const writtenAfter = this._reports.get(id)?.writtenAfter;
		return writtenAfter !== undefined && this._endpoints.has(id) && !this._pendingRemovals.has(id)
			&& momentAgeMs(writtenAfter, this._services.clock) < ageMs;
	}

	/**
	 * Time in milliseconds for which an endpoint has certainly been registered without interruption; zero if it
	 * is not registered.
	 */
	registeredForMs(id: string): number {
		const registeredAtMs = this._registeredAtMs.get(id);
		return registeredAtMs === undefined ? 0 : this._services.clock.nowMs() - registeredAtMs;
	}

	/** Time in milliseconds since the known registrations were last proved to be all there are; infinite before the first proof. */
	get provedAgoMs(): number {
		return this._follower.ageMs;
	}

	/** Reads from the store the ids of a service's registered endpoints, independent of what this node has followed. */
	async readIds(store: RowStore, service: string): Promise<Either<PlatformFault, string[]>> {
		const read = await store.read(this._formats.endpointTable, '');
		return read.map(({rows}) => rows
			.filter(({key, value}) => value !== undefined && this._formats.decodeEndpoint(key, value)?.service === service)
			.map(({key}) => key));
	}

	/** Returns an endpoint by its id; undefined if it is not registered. */
	endpoint(id: string): RegisteredEndpoint | undefined {
		return this._endpoints.get(id);
	}

	applySnapshot(rows: readonly StoredRow[]): void {
		const present = new Set(rows.map(({key}) => key));
		for (const key of [...this._endpoints.keys(), ...this._unreadable.keys()]) {
			if (!present.has(key)) {
				this._unreadable.delete(key);
				this._scheduleRemoval(key);
			}
		}

		for (const row of rows) {
			if (this._reports.get(row.key)?.version !== row.version) {
				// The registration may have lapsed and returned among the changes that were missed.
				this._registeredAtMs.delete(row.key);
			}

			this.applyRow(row);
		}

		this._era = this._follower.era;
		this._isLoaded = true;
	}

	applyRow({key, value, version}: StoredRow): void {
		if (value === undefined) {
			this._unreadable.delete(key);
			this._scheduleRemoval(key);
			return;
		}

		if (this._unreadable.get(key) === version) {
			return;
		}

		const registration = this._decoder.decode(key, value);
		if (registration) {
			this._unreadable.delete(key);
			this._cancelRemoval(key);
			this._noteReport(key, version);
			this._applyRegistration(registration, eraOf(version));
		} else {
			this._noteUnreadable(key, version);
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
	 * Whether a missing registration may have lapsed only because the store was unavailable. Such
	 * removals arrive right after the store's recovery; without the grace time, a primary that was
	 * alive would be dropped together with its connections.
	 */
	private get _isInReturnGrace(): boolean {
		return this._follower.isUnavailable || this._follower.recoveredForMs < this._services.options.returnGraceMs;
	}

	/** Removes an endpoint whose registration cannot be decoded, until the endpoint, if it is alive, registers again. */
	private _noteUnreadable(key: string, version: number): void {
		this._registeredAtMs.delete(key);
		this._remove(key);
		if (!this._unreadable.has(key)) {
			this._services.log.event('registrationUnreadable', {key});
		}

		this._unreadable.set(key, version);
	}

	private _applyRegistration({startedAtMs, reportNumber, ...rest}: EndpointRegistration, era: number): void {
		const before = this._starts.get(rest.id);
		if (isOfEarlierStart(startedAtMs, before) || this._isOutdatedByRestore({startedAtMs, reportNumber, era}, rest.id, before)) {
			// Ignores a delayed write of an earlier process, and a row that is known to be outdated.
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
		this._noteRegistered(endpoint.id);
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
	 * Whether a row comes from the snapshot from which the store was restored, while this node knows
	 * of a newer report of the endpoint, or of its removal. An endpoint that is alive reports again
	 * within the grace time.
	 */
	private _isOutdatedByRestore({startedAtMs, reportNumber, era}: Omit<EndpointStart, 'incarnation'>, id: string, before: EndpointStart | undefined): boolean {
		if (!before || era <= before.era || this._follower.recoveredForMs >= this._services.options.returnGraceMs) {
			return false;
		}

		const isSameStart = startedAtMs === undefined || before.startedAtMs === undefined || startedAtMs === before.startedAtMs;
		const isOutdated = reportNumber < before.reportNumber || (reportNumber === before.reportNumber && !this._endpoints.has(id));
		return isSameStart && isOutdated;
	}

	private _noteRegistered(id: string): void {
		if (!this._registeredAtMs.has(id)) {
			this._registeredAtMs.set(id, this._services.clock.nowMs());
		}
	}

	/** Records a report: it was not among the rows when they were last proved to be current, unless a restore brought it back. */
	private _noteReport(id: string, version: number): void {
		if (this._reports.get(id)?.version !== version) {
			this._reports.set(id, {version, writtenAfter: eraOf(version) === this._era ? this._follower.provedAt : undefined});
		}
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

	/**
	 * Removes an endpoint whose registration is gone. While the store is unavailable and shortly
	 * after, registrations may lapse although their endpoints are alive, so the removal is then
	 * delayed by the grace time.
	 */
	private _scheduleRemoval(id: string): void {
		this._registeredAtMs.delete(id);
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
			this._reports.delete(id);
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

/**
 * Returns which field shows a restart: a later start time or, if the start times are not both known,
 * a report number that went down; undefined if none does.
 */
function restartSign(now: Pick<EndpointStart, 'startedAtMs' | 'reportNumber'>, before: EndpointStart): RestartSign | undefined {
	if (now.startedAtMs !== undefined && before.startedAtMs !== undefined) {
		return now.startedAtMs > before.startedAtMs ? 'startTime' : undefined;
	}

	return now.reportNumber < before.reportNumber ? 'reportNumber' : undefined;
}
