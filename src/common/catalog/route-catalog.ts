/**
 * The routes in force on this node. Versions only go up.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {
	Route, RouteTable, RowFormats, StoredRow,
} from '../services/services.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {FollowedTable, FollowerServices, TableReader} from './table-follower.js';
import {TableFollower} from './table-follower.js';

const nothing: RouteTable = {
	version: -1,
	routes: [],
	transactionIdleMs: 0,
	connectionLimits: new Map(),
};

/** Follows the configuration in the store and answers who serves a database. */
export class RouteCatalog implements TableReader, Disposable {
	/** Fires with the version that has come into force. */
	readonly onChange: Event<number>;

	private readonly _services: FollowerServices;
	private readonly _formats: RowFormats;
	private readonly _follower: TableFollower;
	private readonly _onChange = new Emitter<number>();
	private _table = nothing;
	private _byDatabase = new Map<string, Route>();
	private _refresh: Promise<unknown> | undefined;

	constructor(services: FollowerServices, formats: RowFormats) {
		this.onChange = this._onChange.event;
		this._services = services;
		this._formats = formats;
		this._follower = new TableFollower(formats.configurationTable, this, services);
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

	/** What is followed, for other nodes. */
	get followed(): FollowedTable {
		return this._follower;
	}

	/** Whether the store could not be asked the last time. */
	get isStoreAway(): boolean {
		return this._follower.isAway;
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
		const {clock, options} = this._services;
		if (known !== undefined || (this.isLoaded && this._follower.ageMs < options.freshEnoughMs)) {
			return known;
		}

		this._refresh ??= this._follower.refresh().finally(() => {
			this._refresh = undefined;
		});
		await withTimeout(clock, this._refresh, options.unknownDatabaseWaitMs);
		return this.route(database);
	}

	takeSnapshot(rows: readonly StoredRow[]): void {
		for (const row of rows) {
			this.takeRow(row);
		}
	}

	takeRow({key, value}: StoredRow): void {
		if (key !== this._formats.configurationKey || value === undefined) {
			return;
		}

		const table = this._formats.decodeRoutes(value);
		if (!table) {
			this._services.log.event('configurationUnreadable', {key});
			return;
		}

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
		this._services.log.event('configurationInForce', {version: table.version, from, routes: table.routes.length});
		this._onChange.fire(table.version);
	}

	dispose(): void {
		this._follower.dispose();
		this._onChange.dispose();
	}
}
