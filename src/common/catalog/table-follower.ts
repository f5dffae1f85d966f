/**
 * Follows one table of the store: a read of the whole, then its changes.
 */
import {WakeableSleep} from '../lifecycle/timing.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {
	Clock, Log, PlatformFault, RowStore, StoredRow,
} from '../services/services.js';
import type {CatalogOptions} from './constants.js';

/** What a follower works with. */
export type FollowerServices = {
	readonly clock: Clock;
	readonly log: Log;
	readonly store: RowStore;
	readonly options: CatalogOptions;
};

/** Receives what the store says of a table. */
export type TableReader = {
	/** Every row of the table as of one moment; `wasAway` after the store could not be asked. */
	takeSnapshot(rows: readonly StoredRow[], wasAway: boolean): void;
	/** A row that changed or was removed. Rows of older versions than known ones never arrive. */
	takeRow(row: StoredRow): void;
};

/** One task that keeps a reader up to date until it is disposed. */
export class TableFollower implements Disposable {
	private readonly _services: FollowerServices;
	private readonly _table: string;
	private readonly _reader: TableReader;
	private readonly _sleep: WakeableSleep;
	private readonly _versions = new Map<string, number>();
	private _version: number | undefined;
	private _answeredAtMs = Number.NEGATIVE_INFINITY;
	private _isAway = false;
	private _isDisposed = false;

	constructor(table: string, reader: TableReader, services: FollowerServices) {
		this._table = table;
		this._reader = reader;
		this._services = services;
		this._sleep = new WakeableSleep(services.clock);
	}

	/** Time since the store last said that nothing newer is known to it. */
	get ageMs(): number {
		return this._services.clock.nowMs() - this._answeredAtMs;
	}

	/** Whether the table could not be followed at the last try. */
	get isAway(): boolean {
		return this._isAway;
	}

	/** Follows the table until disposed. */
	async run(): Promise<void> {
		const {options} = this._services;
		let {retryMs} = options;
		while (!this._isDisposed) {
			const fault = this._version === undefined ? await this.refresh() : await this._follow(this._version);
			if (fault) {
				await this._sleep.wait(retryMs);
				retryMs = Math.min(retryMs * 2, options.longestRetryMs);
			} else {
				retryMs = options.retryMs;
			}
		}
	}

	/** Reads the whole table now; resolves with what went wrong, if anything did. */
	async refresh(): Promise<PlatformFault | undefined> {
		const {clock, store} = this._services;
		const askedAtMs = clock.nowMs();
		const result = await store.read(this._table, '');
		if (result.isLeft()) {
			return this._noteFault(result.extract());
		}

		const {rows, version} = result.unsafeCoerce();
		this._noteAnswer(askedAtMs);
		this._takeSnapshot(rows, version);
		return undefined;
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	private async _follow(afterVersion: number): Promise<PlatformFault | undefined> {
		const {clock, store, options} = this._services;
		const askedAtMs = clock.nowMs();
		const result = await store.follow(this._table, afterVersion, options.followWaitMs);
		if (result.isLeft()) {
			return this._noteFault(result.extract());
		}

		const {rows, version, isHistoryGone} = result.unsafeCoerce();
		this._noteAnswer(askedAtMs);
		if (isHistoryGone) {
			this._version = undefined;
			// A store that drops its history again and again is not read without a pause.
			await this._sleep.wait(options.retryMs);
			return undefined;
		}

		for (const row of rows) {
			this._takeChange(row);
		}

		this._version = Math.max(version, afterVersion);
		return undefined;
	}

	private _takeSnapshot(rows: readonly StoredRow[], version: number): void {
		const wasAway = this._isAway;
		this._isAway = false;
		if (this._version !== undefined && version < this._version) {
			return;
		}

		this._versions.clear();
		for (const row of rows) {
			this._versions.set(row.key, row.version);
		}

		this._version = version;
		this._reader.takeSnapshot(rows, wasAway);
	}

	private _takeChange(row: StoredRow): void {
		if (row.version <= (this._versions.get(row.key) ?? 0)) {
			return;
		}

		this._versions.set(row.key, row.version);
		this._reader.takeRow(row);
	}

	private _noteAnswer(askedAtMs: number): void {
		this._answeredAtMs = askedAtMs;
		if (this._isAway && this._version !== undefined) {
			this._isAway = false;
			this._services.log.event('storeFollowed', {table: this._table, version: this._version});
		}
	}

	private _noteFault(fault: PlatformFault): PlatformFault {
		if (!this._isAway) {
			this._isAway = true;
			this._services.log.event('storeNotFollowed', {table: this._table, ...fault});
		}

		return fault;
	}
}
