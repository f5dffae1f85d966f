/**
 * Follows one table of the store: a read of the whole, then its changes.
 */
import {waitForEvent, WakeableSleep, withTimeout} from '../lifecycle/timing.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {
	Clock, Log, PlatformFault, RowStore, StoredRow, StoredRows,
} from '../services/services.js';
import {eraOf, versionFields} from '../store/store-version.js';
import type {Moment} from '../lifecycle/moment.js';
import {momentAgeMs, momentAfter, currentMoment} from '../lifecycle/moment.js';
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

/** What differs between the tables that are followed. */
export type FollowedTableOptions = {
	/** Longest wait of one question for changes, in milliseconds. */
	readonly waitMs?: () => number;
	/** The value of a row as this node keeps it and tells it to others. */
	readonly redactValue?: (value: string) => string;
	/** Whether the store's word that it holds nothing newer is a proof at the moment; it always is by default. */
	readonly canProveFreshness?: () => boolean;
};

/** Receives what the store says of a table. */
export type TableSubscriber = {
	/** Every row of the table as of one moment. */
	applySnapshot(rows: readonly StoredRow[]): void;
	/** A row that changed or was removed. Rows of older versions than known ones never arrive. */
	applyRow(row: StoredRow): void;
};

/** A table that this node follows, as it tells other nodes of it. */
export type FollowedTable = Pick<TableFollower, 'changes'>;

/** One task that keeps a reader up to date until it is disposed. */
export class TableFollower implements Disposable {
	private readonly _services: FollowerServices;
	private readonly _table: string;
	private readonly _subscriber: TableSubscriber;
	private readonly _sleep: WakeableSleep;
	private readonly _waitMs: () => number;
	private readonly _redactValue: (value: string) => string;
	private readonly _canProveFreshness: () => boolean;
	private readonly _onChange = new Emitter<void>();
	/** Rows as they were last seen, the latest of those that were removed included. */
	private readonly _rows = new Map<string, StoredRow>();
	/** Keys of removed rows among them, the earliest first. */
	private readonly _removed = new Set<string>();
	/** Version since which every change is among the rows. */
	private _completeSince = 0;
	private _version: number | undefined;
	/** Whether changes since what is known are lost, so that the table is to be read anew. */
	private _isHistoryGone = false;
	/** When nothing newer was known to the store. */
	private _proved: Moment | undefined;
	private _isUnavailable = false;
	private _recoveredAtMs = Number.NEGATIVE_INFINITY;
	private _isProbing = false;
	private _isDisposed = false;

	constructor(table: string, subscriber: TableSubscriber, services: FollowerServices, {waitMs, redactValue, canProveFreshness}: FollowedTableOptions = {}) {
		this._table = table;
		this._subscriber = subscriber;
		this._services = services;
		this._waitMs = waitMs ?? (() => services.options.followWaitMs);
		this._redactValue = redactValue ?? (value => value);
		this._canProveFreshness = canProveFreshness ?? (() => true);
		this._sleep = new WakeableSleep(services.clock);
	}

	/** Time since the store last said that nothing newer is known to it; infinite before it did. */
	get ageMs(): number {
		return this._proved ? momentAgeMs(this._proved, this._services.clock) : Number.POSITIVE_INFINITY;
	}

	/** Whether the table could not be followed at the last try. */
	get isUnavailable(): boolean {
		return this._isUnavailable;
	}

	/** Time since the table could be followed again; infinite where it always could. */
	get recoveredForMs(): number {
		return this._services.clock.nowMs() - this._recoveredAtMs;
	}

	/**
	 * Changes after a version, for another node; waits a time for one. Undefined where the table
	 * is not followed at the moment.
	 */
	async changes(afterVersion: number, waitMs: number): Promise<StoredRows | undefined> {
		const arrivedAtMs = this._services.clock.nowMs();
		if (this._version !== undefined && this._version <= afterVersion && !this._isUnavailable) {
			await waitForEvent(this._services.clock, this._onChange.event, waitMs);
		}

		if (this._version === undefined || this._isUnavailable) {
			return undefined;
		}

		const isFullRead = afterVersion === 0;
		const rows = [...this._rows.values()].filter(({version, value}) => isFullRead ? value !== undefined : version > afterVersion);
		return {
			rows,
			version: this._version,
			storeNowMs: 0,
			isHistoryGone: !isFullRead && afterVersion < this._completeSince,
			provedAfterMs: this._services.clock.nowMs() - arrivedAtMs - this.ageMs,
		};
	}

	/** Follows the table until disposed. */
	async run(): Promise<void> {
		const {options} = this._services;
		let {retryMs} = options;
		while (!this._isDisposed) {
			const fault = this._version === undefined || this._isHistoryGone ? await this.refresh() : await this._follow(this._version);
			// A store that drops its history again and again is not read without a pause.
			if (fault !== undefined || this._isHistoryGone) {
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
		if (this._isUnavailable || this._isProbing) {
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
		const asked = currentMoment(clock);
		const result = await store.read(this._table, '');
		if (result.isLeft()) {
			return this._noteFault(result.extract());
		}

		const {rows, version, provedAfterMs} = result.unsafeCoerce();
		// What was known before an answer that was held up on its way is newer: it proves nothing.
		if (this._applySnapshot(rows, version)) {
			this._noteAnswer(asked, provedAfterMs);
		}

		return undefined;
	}

	/**
	 * Asks a store for changes without a wait, so that what is known counts as current again. Nothing
	 * of the table's state depends on whether it answers.
	 */
	async renewProof(store: RowStore): Promise<void> {
		const afterVersion = this._version;
		if (afterVersion === undefined) {
			return;
		}

		const asked = currentMoment(this._services.clock);
		const result = await store.follow(this._table, afterVersion, 0);
		result.ifRight(answer => {
			// A table that is to be read anew meanwhile must not pass for complete.
			if (!answer.isHistoryGone && !this._isHistoryGone) {
				this._applyChanges(answer, asked);
			}
		}).ifLeft(fault => {
			this._services.log.event('tableNotRenewed', {table: this._table, ...fault});
		});
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
		this._onChange.fire();
		this._onChange.dispose();
	}

	private async _follow(afterVersion: number): Promise<PlatformFault | undefined> {
		const {clock, store, options, paceMs} = this._services;
		const asked = currentMoment(clock);
		const result = await store.follow(this._table, afterVersion, this._waitMs());
		if (result.isLeft()) {
			return this._noteFault(result.extract());
		}

		const answer = result.unsafeCoerce();
		if (answer.isHistoryGone) {
			// What is known stays known meanwhile: else every node that is told of it would read the store itself.
			this._isHistoryGone = true;
			return undefined;
		}

		this._applyChanges(answer, asked);
		if (answer.rows.length > 0) {
			const pauseMs = paceMs?.() ?? 0;
			if (pauseMs > 0) {
				await this._sleep.wait(pauseMs);
			}
		}

		return undefined;
	}

	/** The moment counts only once the changes are known here. */
	private _applyChanges({rows, version, provedAfterMs}: StoredRows, asked: Moment): void {
		for (const row of rows) {
			this._applyChange(row);
		}

		this._dropRemovals();
		this._version = Math.max(version, this._version ?? 0);
		this._noteAnswer(asked, provedAfterMs);
		if (rows.length > 0) {
			this._onChange.fire();
		}
	}

	/** Resolves to whether the rows are at least as new as what is known. */
	private _applySnapshot(found: readonly StoredRow[], version: number): boolean {
		const known = this._version;
		if (this._isUnavailable) {
			this._noteRecovery();
		}

		const isTaken = known === undefined || version >= known;
		if (!isTaken || this._isHistoryGone) {
			const {era: knownEra, version: knownVersion} = versionFields(known);
			this._services.log.event('tableReadAnew', {
				table: this._table, knownEra, knownVersion, ...versionFields(version), rows: found.length, isTaken,
			});
		}

		if (!isTaken) {
			return false;
		}

		if (eraOf(version) > eraOf(known ?? version)) {
			// Whoever writes there has to do so again.
			this._noteRecovery();
		}

		const rows = found.map(row => this._redactRow(row));
		this._rows.clear();
		this._removed.clear();
		for (const row of rows) {
			this._rows.set(row.key, row);
		}

		this._version = version;
		this._isHistoryGone = false;
		this._completeSince = version;
		this._subscriber.applySnapshot(rows);
		this._onChange.fire();
		return true;
	}

	private _redactRow(row: StoredRow): StoredRow {
		return row.value === undefined ? row : {...row, value: this._redactValue(row.value)};
	}

	private _applyChange(found: StoredRow): void {
		// What is not among the rows was absent, or removed, at the version since which they are complete.
		if (found.version <= (this._rows.get(found.key)?.version ?? this._completeSince)) {
			return;
		}

		const row = this._redactRow(found);

		this._rows.set(row.key, row);
		this._removed.delete(row.key);
		if (row.value === undefined) {
			this._removed.add(row.key);
		}

		this._subscriber.applyRow(row);
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

	private _noteAnswer(asked: Moment, provedAfterMs = 0): void {
		const proved = momentAfter(asked, provedAfterMs);
		// An answer that was held up on its way takes nothing back.
		if (this._canProveFreshness() && (!this._proved || proved.steadyMs > this._proved.steadyMs)) {
			this._proved = proved;
		}

		if (this._isUnavailable && this._version !== undefined) {
			this._noteRecovery();
			this._services.log.event('storeFollowed', {table: this._table, ...versionFields(this._version)});
		}
	}

	private _noteRecovery(): void {
		this._isUnavailable = false;
		this._recoveredAtMs = this._services.clock.nowMs();
	}

	private _noteFault(fault: PlatformFault): PlatformFault {
		if (!this._isUnavailable) {
			this._isUnavailable = true;
			this._onChange.fire();
			this._services.log.event('storeNotFollowed', {table: this._table, ...fault});
		}

		return fault;
	}
}
