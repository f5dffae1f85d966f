/**
 * The routes in force on this node. Versions only go up.
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

/** What the catalog needs besides what every followed table does. */
export type CatalogServices = FollowerServices & {
	/** The store itself, for proofs that the node which follows for all cannot give. */
	readonly provingStore: RowStore;
	/** Time in which a revoked key must count no more; undefined where only nodes in touch with the store owe that. */
	readonly keyRevocationMs: number | undefined;
	readonly restores: RestoreStatus;
};

/** Follows the configuration in the store and answers who serves a database. */
export class RouteCatalog implements TableSubscriber, Disposable {
	/** Fires with the version that has come into force. */
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
	/** Number of the configuration that the store holds, in force or older. */
	private _storedVersion = nothing.version;

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

	/** Version in force; negative before the first. */
	get version(): number {
		return this._table.version;
	}

	/** Time after which an idle transaction is rolled back. */
	get transactionIdleMs(): number {
		return this._table.transactionIdleMs;
	}

	/** Whether a configuration is in force. */
	get isLoaded(): boolean {
		return this._table.version >= 0;
	}

	/** Who may ask; undefined where callers need no key. */
	get organisations(): Organisations | undefined {
		return this._organisations;
	}

	/** What is followed, for other nodes. */
	get followed(): FollowedTable {
		return this._follower;
	}

	/** Whether the store could not be asked the last time. */
	get isStoreUnavailable(): boolean {
		return this._follower.isUnavailable;
	}

	/** Looks whether the store answers. */
	async probeStore(): Promise<void> {
		await this._follower.probe();
	}

	/** Names of the services that routes lead to. */
	serviceNames(): readonly string[] {
		return [...new Set(this._table.routes.map(({service}) => service))];
	}

	/** Connections that each endpoint of a service accepts from all nodes together; infinite where that is not known. */
	connectionLimit(service: string): number {
		return this._table.connectionLimits.get(service) ?? Number.POSITIVE_INFINITY;
	}

	/** The digest by which a key is known. */
	digestOf(key: string): string {
		return this._formats.digestOf(key);
	}

	/** Starts to follow; the task ends when the catalog is disposed. */
	start(): void {
		void this._follower.run();
	}

	/** The route of a database in the version in force. */
	route(database: string): Route | undefined {
		return this._byDatabase.get(database);
	}

	/**
	 * The route of a database, looked for in a newer version too when this node does not know
	 * it and has not heard from the store a moment ago.
	 */
	async findRoute(database: string): Promise<Route | undefined> {
		const known = this.route(database);
		if (known === undefined) {
			await this._refreshIfStale();
		}

		return this.route(database);
	}

	/** The organisation that holds a key, looked for in a newer version too when this node does not know it. */
	async findOrganisation(keyDigest: string): Promise<Organisation | undefined> {
		const known = this._organisations?.holder(keyDigest);
		if (known === undefined) {
			await this._refreshIfStale();
		}

		return this._organisations?.holder(keyDigest);
	}

	/**
	 * Whether no version that revokes a key can have been acknowledged so long ago that it must
	 * be known here. Asks the store itself where the proof is about to become too old, and waits for
	 * its answer only where it is.
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

	applyRow({key, value}: StoredRow): void {
		if (key !== this._formats.configurationKey || value === undefined) {
			return;
		}

		const table = this._formats.decodeRoutes(value);
		if (!table) {
			this._services.log.event('configurationUnreadable', {key});
			return;
		}

		this._storedVersion = table.version;
		this.adopt(table);
	}

	/** Puts a version in force unless it is older than the one in force. */
	adopt(table: RouteTable): void {
		if (table.version <= this._table.version) {
			return;
		}

		const from = this._table.version;
		this._table = table;
		this._byDatabase = new Map(table.routes.map(route => [route.database, route]));
		this._organisations = table.organisations && new Organisations(table.organisations);
		this._services.log.event('configurationInForce', {version: table.version, from, routes: table.routes.length});
		this._onChange.fire(table.version);
	}

	dispose(): void {
		this._follower.dispose();
		this._onChange.dispose();
	}

	private get _mustProveFreshness(): boolean {
		return this._services.keyRevocationMs !== undefined && this._organisations !== undefined;
	}

	/** Reads the newest version, unless what is known was current a moment ago. */
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

	/** The question that is on its way, or a new one; undefined right after one that failed. */
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
