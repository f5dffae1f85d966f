/**
 * Follows one table of the store: reads the whole table once, then its changes through long polls.
 */
import {waitForEvent, WakeableSleep, withTimeout} from '../lifecycle/timing.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {
	Clock, Log, PlatformFault, Random, RowStore, StoredRow, StoredRows,
} from '../services/services.js';
import {eraOf, versionFields} from '../store/store-version.js';
import type {Moment} from '../lifecycle/moment.js';
import {momentAgeMs, momentAfter, currentMoment} from '../lifecycle/moment.js';
import type {CatalogOptions} from './constants.js';

/** Dependencies of a follower. */
export type FollowerServices = {
	readonly clock: Clock;
	readonly log: Log;
	readonly store: RowStore;
	readonly options: CatalogOptions;
	/** Varies the backoff of a large fleet; without it, the backoff does not vary. */
	readonly random?: Random;
	/** Returns the pause in milliseconds after changes were applied, before more are requested; no pause by default. */
	readonly paceMs?: () => number;
};

/** Options that differ between the followed tables. */
export type FollowedTableOptions = {
	/** Returns the maximum wait of one long poll, in milliseconds. */
	readonly waitMs?: () => number;
	/** Returns a row's value in the form in which this node stores it and serves it to other nodes. */
	readonly redactValue?: (value: string) => string;
	/**
	 * Returns whether a row's changed value only repeats the known one, so that other nodes may learn of it
	 * later, with the next answer that they get anyway. By default, every change matters at once.
	 */
	readonly isRepetition?: (key: string, known: string, value: string) => boolean;
	/** Returns whether a response without newer rows currently proves that the table is up to date; always by default. */
	readonly canProveFreshness?: () => boolean;
};

/** Receives the rows of a followed table. */
export type TableSubscriber = {
	/** Called with every row of the table as of one moment. */
	applySnapshot(rows: readonly StoredRow[]): void;
	/** Called with a row that changed or was removed; never with an older version than the known one. */
	applyRow(row: StoredRow): void;
};

/** The part of a followed table that serves its changes to other nodes. */
export type FollowedTable = Pick<TableFollower, 'changes'>;

/** Keeps a subscriber up to date until the follower is disposed. */
export class TableFollower implements Disposable {
	private readonly _services: FollowerServices;
	private readonly _table: string;
	private readonly _subscriber: TableSubscriber;
	private readonly _sleep: WakeableSleep;
	private readonly _waitMs: () => number;
	private readonly _redactValue: (value: string) => string;
	private readonly _canProveFreshness: () => boolean;
	private readonly _isRepetition: (key: string, known: string, value: string) => boolean;
	private readonly _onChange = new Emitter<void>();
	/** Latest version of each row, including the most recently removed ones. */
	private readonly _rows = new Map<string, StoredRow>();
	/** Keys of the removed rows among them, earliest removal first. */
	private readonly _removed = new Set<string>();
	/** Version after which every change is contained in the rows. */
	private _completeSince = 0;
	/**
	 * Spans of versions in which rows may have come and gone without this node's knowledge, because the
	 * whole table was read at their ends; earliest first.
	 */
	private readonly _unknownSpans: Array<{readonly after: number; readonly before: number}> = [];
	/** Version of the last read of the whole table. */
	private _readVersion = 0;
	private _version: number | undefined;
	/** Version of the latest change that was not a repetition. */
	private _newsVersion = 0;
	/**
	 * Whether the store no longer has all changes since the known version, so that the whole table
	 * must be read again.
	 */
	private _isHistoryGone = false;
	/** When the known rows were last proved to be current. */
	private _proved: Moment | undefined;
	private _isUnavailable = false;
	/** Whether the known rows must not be passed on to other nodes. */
	private _isForOwnUseOnly = false;
	private _recoveredAtMs = Number.NEGATIVE_INFINITY;
	private _isProbing = false;
	private _isDisposed = false;

	constructor(table: string, subscriber: TableSubscriber, services: FollowerServices, {waitMs, redactValue, canProveFreshness, isRepetition}: FollowedTableOptions = {}) {
		this._table = table;
		this._subscriber = subscriber;
		this._services = services;
		this._waitMs = waitMs ?? (() => services.options.followWaitMs);
		this._redactValue = redactValue ?? (value => value);
		this._canProveFreshness = canProveFreshness ?? (() => true);
		this._isRepetition = isRepetition ?? (() => false);
		this._sleep = new WakeableSleep(services.clock);
	}

	/** Era of the store to which the known rows belong; undefined before the first read. */
	get era(): number | undefined {
		return this._version === undefined ? undefined : eraOf(this._version);
	}

	/** When the known rows were last proved to be current; undefined before the first proof. */
	get provedAt(): Moment | undefined {
		return this._proved;
	}

	/** Time in milliseconds since the known rows were last proved to be current; infinite before the first proof. */
	get ageMs(): number {
		return this._proved ? momentAgeMs(this._proved, this._services.clock) : Number.POSITIVE_INFINITY;
	}

	/** Whether the last request for the table failed. */
	get isUnavailable(): boolean {
		return this._isUnavailable;
	}

	/**
	 * Time in milliseconds since the table could be followed again after a failure or a restore;
	 * infinite without one.
	 */
	get recoveredForMs(): number {
		return this._services.clock.nowMs() - this._recoveredAtMs;
	}

	/**
	 * Returns the changes after a version, for another node, waiting up to `waitMs` for the first
	 * one that is not a repetition; undefined while the table cannot be followed, or only over nodes that
	 * are not to be relied on by others.
	 */
	async changes(afterVersion: number, waitMs: number): Promise<StoredRows | undefined> {
		const arrivedAtMs = this._services.clock.nowMs();
		const hasNews = this._newsVersion > afterVersion || this._completeSince > afterVersion;
		if (this._version !== undefined && !hasNews && !this._isUnavailable && !this._isForOwnUseOnly) {
			await waitForEvent(this._services.clock, this._onChange.event, waitMs);
		}

		if (this._version === undefined || this._isUnavailable || this._isForOwnUseOnly) {
			return undefined;
		}

		const isFullRead = afterVersion === 0;
		const isHistoryGone = !isFullRead && !this._knowsChangesAfter(afterVersion);
		// A node whose history is gone reads the whole table next, so rows would be sent to it twice.
		const rows = isHistoryGone ? [] : [...this._rows.values()].filter(({version, value}) => isFullRead ? value !== undefined : version > afterVersion);
		return {
			rows,
			version: this._version,
			storeNowMs: 0,
			isHistoryGone,
			provedAfterMs: this._services.clock.nowMs() - arrivedAtMs - this.ageMs,
			areRedacted: true,
		};
	}

	/** Follows the table until the follower is disposed. */
	async run(): Promise<void> {
		const {options} = this._services;
		let {retryMs} = options;
		while (!this._isDisposed) {
			const isRead = this._version === undefined || this._isHistoryGone;
			const fault = isRead ? await this.refresh() : await this._follow(this._version!);
			// Without the backoff, a store that repeatedly drops its history would be read continuously.
			if (fault !== undefined || this._isHistoryGone) {
				await this._sleep.wait(this._isPaced ? this._withJitter(retryMs) : retryMs);
				const longestMs = this._isPaced && fault === undefined ? options.longestHistoryRetryMs : options.longestRetryMs;
				retryMs = Math.min(retryMs * 2, longestMs);
			} else if (!isRead || !this._isPaced) {
				// That a table could be read does not show that the store keeps its history again.
				retryMs = options.retryMs;
			}
		}
	}

	/**
	 * Probes whether the store responds at all: a pending long poll would show a silent store only
	 * after its timeout, up to 3 s later.
	 */
	async probe(): Promise<void> {
		const {clock, store, options} = this._services;
		if (this._isUnavailable || this._isProbing) {
			return;
		}

		this._isProbing = true;
		// A read of the whole table could take longer than the timeout: 300 KB need 343 ms on a link of 7 Mbit/s.
		const call = this._version === undefined ? store.read(this._table, '') : store.follow(this._table, this._version, 0);
		const answer = await withTimeout(clock, call, options.probeTimeoutMs);
		this._isProbing = false;
		if (answer === undefined) {
			this._noteFault({kind: 'unavailable', detail: `no response to a probe within ${options.probeTimeoutMs} ms`});
		} else if (answer.isLeft()) {
			this._noteFault(answer.extract());
		}
	}

	/**
	 * Requests the newest rows now, and resolves to the fault if that failed. Only changes are
	 * requested where the whole table is known: a caller with an unknown database or key must not
	 * cost a read of a table of 300 KB.
	 */
	async refresh(): Promise<PlatformFault | undefined> {
		if (this._version !== undefined && !this._isHistoryGone) {
			const fault = await this._requestChanges(this._version, 0);
			if (fault !== undefined || !this._isHistoryGone) {
				return fault;
			}
		}

		return this._readAll();
	}

	/**
	 * Requests changes from a store without waiting for one, so that the known rows are proved
	 * current again. The table's availability does not depend on the response.
	 */
	async renewProof(store: Pick<RowStore, 'follow'>): Promise<void> {
		const afterVersion = this._version;
		if (afterVersion === undefined) {
			return;
		}

		const requestedAt = currentMoment(this._services.clock);
		const result = await store.follow(this._table, afterVersion, 0);
		result.ifRight(answer => {
			// A table that must be read again by now must not be treated as complete.
			if (!answer.isHistoryGone && !this._isHistoryGone) {
				this._applyChanges(answer, requestedAt);
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

	/** Reads the whole table, and resolves to the fault if the read failed. */
	private async _readAll(): Promise<PlatformFault | undefined> {
		const {clock, store} = this._services;
		const requestedAt = currentMoment(clock);
		const result = await store.read(this._table, '');
		if (result.isLeft()) {
			return this._noteFault(result.extract());
		}

		const answer = result.unsafeCoerce();
		this._noteSource(answer.isForOwnUseOnly);
		// A response that was delayed in transit may be older than the known rows, and then proves nothing.
		if (this._applySnapshot(answer)) {
			this._noteAnswer(requestedAt, answer.provedAfterMs);
		}

		return undefined;
	}

	private async _follow(afterVersion: number): Promise<PlatformFault | undefined> {
		return this._requestChanges(afterVersion, this._waitMs(), async () => {
			const pauseMs = this._services.paceMs?.() ?? 0;
			if (pauseMs > 0) {
				await this._sleep.wait(pauseMs);
			}
		});
	}

	/** Requests changes and applies them; calls `afterChange` if there were any. Resolves to the fault if the request failed. */
	private async _requestChanges(afterVersion: number, waitMs: number, afterChange?: () => Promise<void>): Promise<PlatformFault | undefined> {
		const {clock, store} = this._services;
		const requestedAt = currentMoment(clock);
		const result = await store.follow(this._table, afterVersion, waitMs);
		if (result.isLeft()) {
			return this._noteFault(result.extract());
		}

		const answer = result.unsafeCoerce();
		this._noteSource(answer.isForOwnUseOnly);
		if (answer.isHistoryGone) {
			// The known rows stay available in the meantime; otherwise every node that follows
			// through this one would read the store itself.
			this._isHistoryGone = true;
			return undefined;
		}

		this._applyChanges(answer, requestedAt);
		if (answer.rows.length > 0) {
			await afterChange?.();
		}

		return undefined;
	}

	/** Records whether rows may be passed on; answers waiting requests of other nodes if they may not any more. */
	private _noteSource(isForOwnUseOnly = false): void {
		if (isForOwnUseOnly === this._isForOwnUseOnly) {
			return;
		}

		this._isForOwnUseOnly = isForOwnUseOnly;
		this._services.log.event('tableSourceChanged', {table: this._table, isStandIn: isForOwnUseOnly});
		if (isForOwnUseOnly) {
			this._onChange.fire();
		}
	}

	/** Applies changes, and only then records the proof of freshness, dated by the request. */
	private _applyChanges({rows, version, provedAfterMs, areRedacted}: StoredRows, requestedAt: Moment): void {
		const knownNewsVersion = this._newsVersion;
		for (const row of rows) {
			this._applyChange(row, areRedacted);
		}

		this._dropRemovals();
		this._version = Math.max(version, this._version ?? 0);
		this._noteAnswer(requestedAt, provedAfterMs);
		if (this._newsVersion > knownNewsVersion) {
			this._onChange.fire();
		}
	}

	/** Applies a read of the whole table, unless it is older than the known rows, and returns whether it was applied. */
	private _applySnapshot({rows: found, version, areRedacted}: StoredRows): boolean {
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
			// Writers of the table have to write their rows again after a restore.
			this._noteRecovery();
		}

		const rows = found.map(row => this._redactRow(row, areRedacted));
		this._replaceRows(rows, version);
		this._version = version;
		this._newsVersion = version;
		this._isHistoryGone = false;
		this._subscriber.applySnapshot(rows);
		this._onChange.fire();
		return true;
	}

	/**
	 * Replaces the known rows by those of a read of the whole table. Nodes that follow over this one need
	 * only the differences, unless the known rows are of an earlier era: a row that is missing was removed
	 * between the known version and that of the read.
	 */
	private _replaceRows(rows: readonly StoredRow[], version: number): void {
		const known = this._version;
		if (known === undefined || eraOf(known) !== eraOf(version)) {
			this._rows.clear();
			this._removed.clear();
			this._completeSince = version;
			this._unknownSpans.length = 0;
		} else if (version > known) {
			this._noteUnknownSpan(known, version);
			const present = new Set(rows.map(({key}) => key));
			for (const row of [...this._rows.values()].filter(({key, value}) => value !== undefined && !present.has(key))) {
				this._rows.set(row.key, {...row, value: undefined, version});
				this._removed.add(row.key);
			}
		}

		for (const row of rows) {
			this._rows.set(row.key, row);
			this._removed.delete(row.key);
		}

		this._readVersion = version;
		this._dropRemovals();
	}

	/**
	 * Whether the rows contain all changes after a version. A node that has a version inside of an unknown
	 * span may know a row that was removed in it, of which nothing is known here.
	 */
	private _knowsChangesAfter(version: number): boolean {
		return version >= this._completeSince && this._unknownSpans.every(({after, before}) => version <= after || version >= before);
	}

	private _noteUnknownSpan(after: number, before: number): void {
		this._unknownSpans.push({after, before});
		if (this._unknownSpans.length > this._services.options.rememberedReads) {
			this._completeSince = Math.max(this._completeSince, this._unknownSpans.shift()!.before);
		}
	}

	/** Whether the fleet is so large that requests for changes are paced. */
	private get _isPaced(): boolean {
		return (this._services.paceMs?.() ?? 0) > 0;
	}

	private _withJitter(delayMs: number): number {
		const {random, options} = this._services;
		return delayMs * (1 + (((random?.next() ?? 0.5) - 0.5) * 2 * options.retryJitterShare));
	}

	/** Returns a row in the form in which this node keeps it; parsing and writing 300 KB once more takes some 10 ms of a whole core. */
	private _redactRow(row: StoredRow, isRedacted = false): StoredRow {
		return row.value === undefined || isRedacted ? row : {...row, value: this._redactValue(row.value)};
	}

	private _applyChange(found: StoredRow, isRedacted?: boolean): void {
		// A key that is not among the rows was absent or removed at the version since which the rows are complete, and when the table was last read.
		if (found.version <= (this._rows.get(found.key)?.version ?? Math.max(this._completeSince, this._readVersion))) {
			return;
		}

		const row = this._redactRow(found, isRedacted);
		const known = this._rows.get(row.key)?.value;
		if (row.value === undefined || known === undefined || !this._isRepetition(row.key, known, row.value)) {
			this._newsVersion = Math.max(this._newsVersion, row.version);
		}

		this._rows.set(row.key, row);
		this._removed.delete(row.key);
		if (row.value === undefined) {
			this._removed.add(row.key);
		}

		this._subscriber.applyRow(row);
	}

	/**
	 * Drops the earliest removals beyond the bound, and raises the version since which the rows are
	 * complete to the last dropped one.
	 */
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

	private _noteAnswer(requestedAt: Moment, provedAfterMs = 0): void {
		const proved = momentAfter(requestedAt, provedAfterMs);
		// A response that was delayed in transit must not make the proof older.
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
