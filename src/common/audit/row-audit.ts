/**
 * Writes the audit trail as rows of the store, one row per act. While the store is unavailable,
 * a bounded number of entries waits.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import type {RestoreStatus} from '../store/restore-watch.js';
import type {
	Audit, AuditEntry, Clock, Log, PlatformFault, RowStore,
} from '../services/services.js';

/** Name of the table that holds the audit trail. */
export const auditTable = 'audit';

/** Maximum number of entries that wait while the store is unavailable; beyond it, the oldest are dropped. */
const maximumWaiting = 256;

/** Pause after a write that failed. */
const retryMs = 1000;

/**
 * How long a written entry is retained, to be written again if the store loses it by a restore;
 * snapshots of the store are some seconds old.
 */
const retentionMs = 60_000;

type Entry = {
	readonly key: string;
	readonly value: string;
};

/** Faults after which a write is not retried: the row exists already, or can never be written. */
const finalFaults: ReadonlySet<PlatformFault['kind']> = new Set(['conditionFailed', 'invalid']);

type AuditServices = {
	readonly clock: Clock;
	readonly log: Log;
	readonly store: RowStore;
	readonly restores: RestoreStatus;
	/** Name of this node. */
	readonly node: string;
};

/** Writes entries one after the other. */
export class RowAudit implements Audit, Disposable {
	private readonly _services: AuditServices;
	private readonly _sleep: WakeableSleep;
	private readonly _waiting: Entry[] = [];
	/** Entries that were written within `retentionMs`, oldest first, with the time of the write. */
	private _written: Array<{readonly entry: Entry; readonly atMs: number}> = [];
	private readonly _restoreSubscription: Disposable;
	private _count = 0;
	private _isWriting = false;
	private _isDisposed = false;

	constructor(services: AuditServices) {
		this._services = services;
		this._sleep = new WakeableSleep(services.clock);
		this._restoreSubscription = services.restores.onRestore(() => {
			this._waiting.unshift(...this._written.map(({entry}) => entry));
			this._written = [];
			void this._write();
		});
	}

	record(entry: AuditEntry): void {
		const {clock, log, node} = this._services;
		this._count += 1;
		const at = new Date(clock.wallClockMs()).toISOString();
		this._waiting.push({key: `${at}-${node}-${this._count}`, value: JSON.stringify({at, ...entry})});
		if (this._waiting.length > maximumWaiting) {
			this._waiting.shift();
			log.event('auditEntriesDropped', {count: 1});
		}

		void this._write();
	}

	dispose(): void {
		this._isDisposed = true;
		this._restoreSubscription.dispose();
		this._sleep.dispose();
	}

	private async _write(): Promise<void> {
		if (this._isWriting) {
			return;
		}

		this._isWriting = true;
		while (this._waiting.length > 0 && !this._isDisposed) {
			const [entry] = this._waiting;
			const result = await this._services.store.write({
				table: auditTable, partition: '', key: entry.key, value: entry.value, expectedVersion: 0,
			});
			// If the row exists already, an attempt whose answer was lost has written it.
			const isDone = !result.isLeft() || finalFaults.has(result.extract().kind);
			if (isDone) {
				this._markWritten(entry);
			} else {
				await this._sleep.wait(retryMs);
			}
		}

		this._isWriting = false;
	}

	/**
 * Moves an entry from the waiting to the written ones. It need not be the first that waits: a
 * restore may have put others before it meanwhile, or it may have been dropped for the maximum.
 */
	private _markWritten(entry: Entry): void {
		const index = this._waiting.indexOf(entry);
		if (index !== -1) {
			this._waiting.splice(index, 1);
		}

		const nowMs = this._services.clock.nowMs();
		this._written = [...this._written, {entry, atMs: nowMs}].filter(({atMs}) => atMs >= nowMs - retentionMs).slice(-maximumWaiting);
	}
}
