/**
 * Follows one table of the store: a read of the whole, then its changes.
 */
import {pauseForEvent, WakeableSleep, withTimeout} from '../lifecycle/timing.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {
	Clock, Log, PlatformFault, RowStore, StoredRow, StoredRows,
} from '../services/services.js';
import type {CatalogOptions} from './constants.js';

/** What a follower works with. */
export type FollowerServices = {
	readonly clock: Clock;
	readonly log: Log;
	readonly store: RowStore;
	readonly options: CatalogOptions;
	/** Pause after changes were taken in, before more are asked for; none by default. */
	readonly paceMs?: () => number;
};

/** Receives what the store says of a table. */
export type TableReader = {
	/** Every row of the table as of one moment. */
	takeSnapshot(rows: readonly StoredRow[]): void;
	/** A row that changed or was removed. Rows of older versions than known ones never arrive. */
	takeRow(row: StoredRow): void;
};

/** A table that this node follows, as it tells other nodes of it. */
export type FollowedTable = Pick<TableFollower, 'changes'>;

/** One task that keeps a reader up to date until it is disposed. */
export class TableFollower implements Disposable {
	private readonly _services: FollowerServices;
	private readonly _table: string;
	private readonly _reader: TableReader;
	private readonly _sleep: WakeableSleep;
	private readonly _onChange = new Emitter<void>();
	/** Rows as they were last seen, the latest of those that were removed included. */
	private readonly _rows = new Map<string, StoredRow>();
	/** Keys of removed rows among them, the earliest first. */
	private readonly _removed = new Set<string>();
	/** Version since which every change is among the rows. */
	private _completeSince = 0;
	private _version: number | undefined;
	private _answeredAtMs = Number.NEGATIVE_INFINITY;
	private _isAway = false;
	private _backAtMs = Number.NEGATIVE_INFINITY;
	private _isProbing = false;
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

	/** Time since the table could be followed again; infinite where it always could. */
	get backForMs(): number {
		return this._services.clock.nowMs() - this._backAtMs;
	}

	/**
	 * Changes after a version, for another node; waits a time for one. Undefined where the table
	 * is not followed at the moment.
	 */
	async changes(afterVersion: number, waitMs: number): Promise<StoredRows | undefined> {
		if (this._version !== undefined && this._version <= afterVersion && !this._isAway) {
			await pauseForEvent(this._services.clock, this._onChange.event, waitMs);
		}

		if (this._version === undefined || this._isAway) {
			return undefined;
		}

		const isWhole = afterVersion === 0;
		const rows = [...this._rows.values()].filter(({version, value}) => isWhole ? value !== undefined : version > afterVersion);
		return {
			rows,
			version: this._version,
			storeNowMs: 0,
			isHistoryGone: !isWhole && afterVersion < this._completeSince,
		};
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

	/**
	 * Looks whether the store answers at all: a question for changes that waits says so only
	 * after its time, 3 s later at the worst.
	 */
	async probe(): Promise<void> {
		const {clock, store, options} = this._services;
		if (this._isAway || this._isProbing) {
			return;
		}

		this._isProbing = true;
		const answer = await withTimeout(clock, store.read(this._table, ''), options.probeTimeoutMs);
		this._isProbing = false;
		if (answer === undefined) {
			this._noteFault({kind: 'unavailable', detail: `no answer to a probe within ${options.probeTimeoutMs} ms`});
		} else if (answer.isLeft()) {
			this._noteFault(answer.extract());
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
		this._onChange.fire();
		this._onChange.dispose();
	}

	private async _follow(afterVersion: number): Promise<PlatformFault | undefined> {
		const {clock, store, options, paceMs} = this._services;
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

		this._dropRemovals();
		this._version = Math.max(version, afterVersion);
		if (rows.length > 0) {
			this._onChange.fire();
			const pauseMs = paceMs?.() ?? 0;
			if (pauseMs > 0) {
				await this._sleep.wait(pauseMs);
			}
		}

		return undefined;
	}

	private _takeSnapshot(rows: readonly StoredRow[], version: number): void {
		if (this._isAway) {
			this._noteBack();
		}

		if (this._version !== undefined && version < this._version) {
			return;
		}

		this._rows.clear();
		this._removed.clear();
		for (const row of rows) {
			this._rows.set(row.key, row);
		}

		this._version = version;
		this._completeSince = version;
		this._reader.takeSnapshot(rows);
		this._onChange.fire();
	}

	private _takeChange(row: StoredRow): void {
		// What is not among the rows was absent, or removed, at the version since which they are complete.
		if (row.version <= (this._rows.get(row.key)?.version ?? this._completeSince)) {
			return;
		}

		this._rows.set(row.key, row);
		this._removed.delete(row.key);
		if (row.value === undefined) {
			this._removed.add(row.key);
		}

		this._reader.takeRow(row);
	}

	/** Drops the earliest removals beyond the bound: every change since the last of them is still there. */
	private _dropRemovals(): void {
		for (const key of this._removed) {
			if (this._removed.size <= this._services.options.keptRemovals) {
				return;
			}

			this._completeSince = Math.max(this._completeSince, this._rows.get(key)!.version);
			this._rows.delete(key);
			this._removed.delete(key);
		}
	}

	private _noteAnswer(askedAtMs: number): void {
		this._answeredAtMs = askedAtMs;
		if (this._isAway && this._version !== undefined) {
			this._noteBack();
			this._services.log.event('storeFollowed', {table: this._table, version: this._version});
		}
	}

	private _noteBack(): void {
		this._isAway = false;
		this._backAtMs = this._services.clock.nowMs();
	}

	private _noteFault(fault: PlatformFault): PlatformFault {
		if (!this._isAway) {
			this._isAway = true;
			this._onChange.fire();
			this._services.log.event('storeNotFollowed', {table: this._table, ...fault});
		}

		return fault;
	}
}
