/**
 * The routes in force on this node. The version in force never decreases.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {
	Organisation, Route, RouteTable, RowFormats, RowStore, StoredRow,
} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {RestoreStatus} from '../store/restore-watch.js';
import {Organisations} from '../organisations/organisations.js';
import type {FollowedTable, FollowerServices, TableSubscriber} from './table-follower.js';
import {TableFollower} from './table-follower.js';

const nothing: RouteTable = {
	version: -1,
	routes: [],
	transactionIdleMs: 0,
	connectionLimits: new Map(),
	organisations: undefined,
};

/** Number of problems of a configuration that are logged; all of them could fill a megabyte. */
const loggedProblems = 3;

/** Dependencies of the catalog in addition to those of every followed table. */
export type CatalogServices = FollowerServices & {
	/**
	 * Source of proofs of freshness when the last one is about to expire: the store itself, or other
	 * nodes before it.
	 */
	readonly provingStore: Pick<RowStore, 'follow'>;
	/**
	 * Time in milliseconds within which a revoked key must be rejected; undefined if only nodes
	 * connected to the store must do so.
	 */
	readonly keyRevocationMs: number | undefined;
	readonly restores: RestoreStatus;
};

/** Follows the configuration in the store, and looks up which service a database is routed to. */
export class RouteCatalog implements TableSubscriber, Disposable {
	/** Fires with the version that has taken effect. */
	readonly onChange: Event<number>;

	private readonly _services: CatalogServices;
	private readonly _formats: RowFormats;
	private readonly _follower: TableFollower;
	private readonly _onChange = new Emitter<number>();
	private _table = nothing;
	private _byDatabase = new Map<string, Route>();
	private _organisations: Organisations | undefined;
	private _refresh: Promise<unknown> | undefined;
	private _renewal: Promise<void> | undefined;
	private _renewedAtMs = Number.NEGATIVE_INFINITY;
	/** Version of the configuration that the store holds: the one in force or, after a restore, an older one. */
	private _storedVersion = nothing.version;
	/** Version of the last row that could not be read. */
	private _unreadableRowVersion: number | undefined;

	constructor(services: CatalogServices, formats: RowFormats) {
		this.onChange = this._onChange.event;
		this._services = services;
		this._formats = formats;
		this._follower = new TableFollower(formats.configurationTable, this, services, {
			waitMs: () => this._mustProveFreshness ? services.options.provingWaitMs : services.options.followWaitMs,
			redactValue: value => formats.redactKeys(value),
			canProveFreshness: () => services.restores.isSettled && this._storedVersion >= this._table.version,
		});
	}

	/** The version in force; negative before the first one. */
	get version(): number {
		return this._table.version;
	}

	/** Time in milliseconds after which an idle transaction is rolled back. */
	get transactionIdleMs(): number {
		return this._table.transactionIdleMs;
	}

	/** Whether a configuration is in force. */
	get isLoaded(): boolean {
		return this._table.version >= 0;
	}

	/** The organisations whose keys are accepted; undefined if callers need no key. */
	get organisations(): Organisations | undefined {
		return this._organisations;
	}

	/** The followed table, for serving its changes to other nodes. */
	get followed(): FollowedTable {
		return this._follower;
	}

	/** Whether the last request to the store failed. */
	get isStoreUnavailable(): boolean {
		return this._follower.isUnavailable;
	}

	/** Probes whether the store responds. */
	async probeStore(): Promise<void> {
		await this._follower.probe();
	}

	/** Returns the names of the services that routes lead to. */
	serviceNames(): readonly string[] {
		return [...new Set(this._table.routes.map(({service}) => service))];
	}

	/** Returns how many connections each endpoint of a service accepts from all nodes together; infinite if unknown. */
	connectionLimit(service: string): number {
		return this._table.connectionLimits.get(service) ?? Number.POSITIVE_INFINITY;
	}

	/** Returns the digest that identifies a key, given the text in which a caller's line holds it. */
	digestOf(lineText: string): string {
		return this._formats.digestOf(lineText);
	}

	/** Starts to follow the configuration, until the catalog is disposed. */
	start(): void {
		void this._follower.run();
	}

	/** Returns the route of a database in the version in force; undefined if there is none. */
	route(database: string): Route | undefined {
		return this._byDatabase.get(database);
	}

	/**
	 * Returns the route of a database. If this node does not know the database and its configuration
	 * may be stale, reads the newest version first.
	 */
	async findRoute(database: string): Promise<Route | undefined> {
		const known = this.route(database);
		if (known === undefined) {
			await this._refreshIfStale();
		}

		return this.route(database);
	}

	/**
	 * Returns the organisation that holds a key. If this node does not know the key and its
	 * configuration may be stale, reads the newest version first.
	 */
	async findOrganisation(keyDigest: string): Promise<Organisation | undefined> {
		const known = this._organisations?.holder(keyDigest);
		if (known === undefined) {
			await this._refreshIfStale();
		}

		return this._organisations?.holder(keyDigest);
	}

	/**
	 * Returns whether this node's keys are current, that is, whether no version that it does not know
	 * can have revoked a key so long ago that the key must be rejected by now. Renews the proof
	 * when it is about to expire, and waits for the response only when the
	 * proof has expired.
	 */
	async areKeysCurrent(): Promise<boolean> {
		const {clock, options, keyRevocationMs} = this._services;
		if (keyRevocationMs === undefined) {
			return true;
		}

		const boundMs = keyRevocationMs - options.proofMarginMs;
		if (this._follower.ageMs > keyRevocationMs * options.renewProofAtShare) {
			const renewal = this._renewProof();
			if (this._follower.ageMs > boundMs && renewal) {
				await withTimeout(clock, renewal, options.provingTimeoutMs);
			}
		}

		return this._follower.ageMs <= boundMs;
	}

	applySnapshot(rows: readonly StoredRow[]): void {
		for (const row of rows) {
			this.applyRow(row);
		}
	}

	applyRow({key, value, version}: StoredRow): void {
		if (key !== this._formats.configurationKey || value === undefined) {
			return;
		}

		const table = this._formats.decodeRoutes(value);
		if (!table) {
			this._noteUnreadable(key, version);
			return;
		}

		this._storedVersion = table.version;
		this.adopt(table);
	}

	/** Puts a version in force if it is newer than the current one. */
	adopt(table: RouteTable): void {
		if (table.version <= this._table.version) {
			return;
		}

		const from = this._table.version;
		this._table = table;
		this._byDatabase = new Map(table.routes.map(route => [route.database, route]));
		this._organisations = table.organisations && new Organisations(table.organisations);
		this._services.log.event('configurationInForce', {version: table.version, from, routes: table.routes.length});
		if (table.problems) {
			this._services.log.event('configurationEntriesLeftOut', {version: table.version, count: table.problems.length, problems: table.problems.slice(0, loggedProblems)});
		}

		this._onChange.fire(table.version);
	}

	dispose(): void {
		this._follower.dispose();
		this._onChange.dispose();
	}

	/** Logs a row that holds no configuration once, although the whole table may be read again and again. */
	private _noteUnreadable(key: string, rowVersion: number): void {
		if (this._unreadableRowVersion !== rowVersion) {
			this._unreadableRowVersion = rowVersion;
			this._services.log.event('configurationUnreadable', {key});
		}
	}

	private get _mustProveFreshness(): boolean {
		return this._services.keyRevocationMs !== undefined && this._organisations !== undefined;
	}

	/** Reads the newest version, unless the known one was proved current within `freshEnoughMs`. */
	private async _refreshIfStale(): Promise<void> {
		const {clock, options} = this._services;
		if (this.isLoaded && this._follower.ageMs < options.freshEnoughMs) {
			return;
		}

		this._refresh ??= this._follower.refresh().finally(() => {
			this._refresh = undefined;
		});
		await withTimeout(clock, this._refresh, options.unknownDatabaseWaitMs);
	}

	/**
	 * Returns the renewal that is in flight, or starts one; undefined if the last one began less than
	 * `renewProofEveryMs` ago.
	 */
	private _renewProof(): Promise<void> | undefined {
		const {clock, options, provingStore} = this._services;
		if (!this._renewal && clock.nowMs() - this._renewedAtMs >= options.renewProofEveryMs) {
			this._renewedAtMs = clock.nowMs();
			this._renewal = this._follower.renewProof(provingStore).finally(() => {
				this._renewal = undefined;
			});
		}

		return this._renewal;
	}
}
