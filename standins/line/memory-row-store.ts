/**
 * The platform's store of versioned rows in memory. Tests can make it unavailable or silent, lose
 * answers, drop its history, and restore it from a snapshot.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {
	counterOf, eraOf, storeVersion,
} from '../../src/common/store/store-version.js';
import type {
	Clock, ConditionalWrite, PlatformFault, RowStore, StoredRow, StoredRows,
} from '../../src/common/services/services.js';

/** A row with its version as the store's counter, without the era. */
type VersionedRow = StoredRow & {readonly partition: string};

/** The contents of the store at one moment. */
export type StoreSnapshot = {
	readonly rows: ReadonlyMap<string, VersionedRow>;
	readonly history: readonly VersionedRow[];
	readonly historyFrom: number;
	readonly version: number;
};

const unavailable: PlatformFault = {kind: 'unavailable', detail: 'made unavailable by the test'};

/** The rows, and the history of their changes since it was last dropped. */
export class MemoryRowStore implements RowStore {
	/** Whether every call fails as unavailable. */
	isUnavailable = false;
	/** Whether reads are never answered, neither those of rows nor those of changes. */
	isSilent = false;
	/** Whether the history of changes is always reported as gone. */
	keepsNoHistory = false;
	/** Number of next conditional writes that take effect and whose answers are lost. */
	writeAnswersToLose = 0;
	/** Called for each conditional write after it took effect and before it is answered. */
	onConditionalWrite: ((write: ConditionalWrite) => void) | undefined;
	/** Number of calls that were made. */
	calls = 0;
	/** Number of reads of whole partitions, by table; they count as calls as well. */
	readonly reads = new Map<string, number>();
	private readonly _clock: Clock;
	private _rows = new Map<string, VersionedRow>();
	private _history: VersionedRow[] = [];
	private _historyFrom = 0;
	private _version = 0;
	private _era = 0;
	/** Requests that wait for a change, with their tables. */
	private readonly _waiting = new Map<() => void, string>();

	constructor(clock: Clock) {
		this._clock = clock;
	}

	async read(table: string, partition: string): Promise<Either<PlatformFault, StoredRows>> {
		this.calls += 1;
		this.reads.set(table, (this.reads.get(table) ?? 0) + 1);
		await this._waitWhileSilent();
		if (this.isUnavailable) {
			return Left(unavailable);
		}

		return Right(this._answer([...this._rows.values()].filter(row => row.table === table && row.partition === partition)));
	}

	async follow(table: string, afterVersion: number, waitMs: number): Promise<Either<PlatformFault, StoredRows>> {
		this.calls += 1;
		if (this.isUnavailable) {
			return Left(unavailable);
		}

		const after = counterOf(afterVersion);
		if (this.keepsNoHistory || eraOf(afterVersion) !== this._era || after < this._historyFrom || after > this._version) {
			return Right({...this._answer([]), isHistoryGone: true});
		}

		const era = this._era;
		// A change of another table wakes the wait but does not end it, and a call that would end then asks again at once.
		const endMs = this._clock.nowMs() + waitMs;
		do {
			if (this._changes(table, after).length === 0) {
				await this._waitForChange(table, endMs - this._clock.nowMs());
			}
		} while (this._changes(table, after).length === 0 && era === this._era && this._clock.nowMs() < endMs);

		await this._waitWhileSilent();
		// Requests that wait for a change fail when the store is restored.
		return this.isUnavailable || era !== this._era ? Left(unavailable) : Right(this._answer(this._changes(table, after)));
	}

	async write(write: ConditionalWrite): Promise<Either<PlatformFault, {version: number; storeNowMs: number}>> {
		this.calls += 1;
		if (this.isUnavailable) {
			return Left(unavailable);
		}

		const key = keyOf(write);
		const known = this._rows.get(key)?.version ?? 0;
		if (write.expectedVersion !== (known === 0 ? 0 : storeVersion(this._era, known))) {
			return Left({kind: 'conditionFailed', detail: 'the row has another version than expected'});
		}

		this.put(write.table, write.key, write.value, write.partition);
		this.onConditionalWrite?.(write);
		if (this.writeAnswersToLose > 0) {
			this.writeAnswersToLose -= 1;
			return Left({kind: 'unavailable', detail: 'the answer was lost'});
		}

		return Right({version: storeVersion(this._era, this._version), storeNowMs: this._clock.nowMs()});
	}

	/** Writes a row without a condition, as the operator and the instances do; the value undefined removes it. */
	put(table: string, key: string, value: string | undefined, partition = ''): void {
		this._version += 1;
		const row: VersionedRow = {
			table, key, value, partition, version: this._version,
		};
		if (value === undefined) {
			this._rows.delete(keyOf(row));
		} else {
			this._rows.set(keyOf(row), row);
		}

		this._history.push(row);
		for (const [wake, waitingFor] of this._waiting) {
			if (waitingFor === table) {
				wake();
			}
		}
	}

	/** Drops the history of all changes so far. */
	dropHistory(): void {
		this._history = [];
		this._historyFrom = this._version;
	}

	/** Version of the store's newest transaction. */
	get currentVersion(): number {
		return storeVersion(this._era, this._version);
	}

	/** Era of the store: how often it was restored from a snapshot. */
	get era(): number {
		return this._era;
	}

	/** Returns the current contents of the store. */
	takeSnapshot(): StoreSnapshot {
		return {
			rows: new Map(this._rows), history: [...this._history], historyFrom: this._historyFrom, version: this._version,
		};
	}

	/** Restores an older snapshot: later writes are lost, and the counter gives out their versions again, in a new era. */
	restore({rows, history, historyFrom, version}: StoreSnapshot): void {
		this._era += 1;
		this._rows = new Map(rows);
		this._history = [...history];
		this._historyFrom = historyFrom;
		this._version = version;
		for (const wake of this._waiting.keys()) {
			wake();
		}
	}

	/** Resolves at once, or never while the store is silent. */
	private async _waitWhileSilent(): Promise<void> {
		if (this.isSilent) {
			await new Promise<void>(() => undefined); // eslint-disable-line no-promise-executor-return -- never answered
		}
	}

	private _changes(table: string, afterVersion: number): VersionedRow[] {
		return this._history.filter(row => row.table === table && row.version > afterVersion);
	}

	private _answer(rows: readonly VersionedRow[]): StoredRows {
		return {
			rows: rows.map(row => ({...row, version: storeVersion(this._era, row.version)})),
			version: storeVersion(this._era, this._version),
			storeNowMs: this._clock.nowMs(), isHistoryGone: false,
		};
	}

	private async _waitForChange(table: string, waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = this._clock.setTimer(waitMs, () => {
				wake();
			});
			const wake = (): void => {
				timer.dispose();
				this._waiting.delete(wake);
				resolve();
			};

			this._waiting.set(wake, table);
		});
	}
}

function keyOf({table, partition, key}: {table: string; partition: string; key: string}): string {
	return [table, partition, key].join('\u0000');
}
