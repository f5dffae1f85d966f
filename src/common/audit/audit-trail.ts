/**
 * The audit trail: who did what, on what basis, with what outcome.
 *
 * Entries are written in batches, one item each, at a bounded rate. The item of a batch is
 * written once and never changed, so after a lost answer it is safe to write it again, which
 * shows whether it had been written.
 */
import type {Either} from 'purify-ts';
import {WakeableSleep, withTimeout} from '../lifecycle/timing.js';
import {Backoff} from '../homes/backoff.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {
	Audit, AuditEntry, PlatformFault, TableItem,
} from '../services/services.js';
import {AuditBuffer} from './audit-buffer.js';
import {
	batchSortKey, dayMs, partitionOf, timePrefix,
} from './audit-keys.js';
import {AuditReader} from './audit-reader.js';
import {auditDefaults, type AuditOptions} from './constants.js';
import type {AuditPage, AuditRecord, AuditServices} from './types.js';

/** Writes the entries of this node to the table, and reads those of all nodes. */
export class AuditTrail implements Audit, Disposable {
	private readonly _services: AuditServices;
	private readonly _options: AuditOptions;
	private readonly _buffer: AuditBuffer;
	private readonly _sleep: WakeableSleep;
	private readonly _backoff: Backoff;
	/** Distinguishes this trail's writes from those of another process with the same name. */
	private readonly _writerId: string;
	private _writing: Promise<void> | undefined;
	private _isFlushing = false;
	private _isDisposed = false;

	/** `node` is `<name>/<incarnation>`; it must differ between two starts of a node with the same name. */
	constructor(services: AuditServices, node: string, options: Partial<AuditOptions> = {}) {
		const {clock, random} = services;
		this._services = services;
		this._options = {...auditDefaults, ...options};
		this._buffer = new AuditBuffer(node, this._options);
		this._writerId = random.next().toString(36).slice(2);
		this._sleep = new WakeableSleep(clock);
		this._backoff = new Backoff(clock, random, this._options.retryMinimumMs, this._options.retryMaximumMs);
	}

	/** Number of entries that are not known to be written. */
	get bufferedCount(): number {
		return this._buffer.size;
	}

	record(entry: AuditEntry): void {
		const {clock, metrics} = this._services;
		if (!this._buffer.add(entry, clock.wallClockMs())) {
			metrics.count('auditEntriesTotal', {outcome: 'dropped'});
		}

		metrics.gauge('auditBufferedEntries', this._buffer.size);
		this._start();
	}

	/**
	 * Reads entries before a cursor, newest first; starts at the newest one if there is none.
	 * `before` is the `next` of an earlier page.
	 */
	async read(limit: number, before?: string): Promise<Either<PlatformFault, AuditPage>> {
		// The read starts a day ahead, since clocks of other nodes may be ahead.
		const now = timePrefix(Math.floor(this._services.clock.wallClockMs()) + dayMs);
		return new AuditReader(this._services.table, this._options, limit, before ?? now).read();
	}

	/** Writes the buffered entries without the usual pauses; resolves with whether all were written in time. */
	async flush(timeoutMs: number): Promise<boolean> {
		if (this._writing) {
			this._isFlushing = true;
			this._sleep.wake();
			await withTimeout(this._services.clock, this._writing, timeoutMs);
			this._isFlushing = false;
		}

		return this._buffer.size === 0;
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	/** Starts the task that writes, unless it is running; it ends when no entry is buffered. */
	private _start(): void {
		if (!this._writing && !this._isDisposed) {
			this._writing = this._write();
		}
	}

	private async _write(): Promise<void> {
		await this._pause(this._options.gatherMs);
		while (this._buffer.size > 0 && !this._isDisposed) {
			await this._writeBatch();
		}

		this._writing = undefined;
	}

	private async _writeBatch(): Promise<void> {
		const {clock, table} = this._services;
		const batch = this._buffer.batch();
		const written = await table.put(this._itemOf(batch), 0);
		if (written.isRight()) {
			this._backoff.reset();
			this._reportBatch('written', batch.length, this._buffer.completeBatch(clock.wallClockMs()));
			await this._pause(this._buffer.size > 0 ? this._options.writeIntervalMs : 0);
		} else if (written.isLeft() && written.extract().kind === 'conditionFailed') {
			// The item belongs to another process with the same name and incarnation.
			this._reportBatch('dropped', batch.length, this._buffer.discardBatch(clock.wallClockMs()));
		} else {
			this._backoff.fail();
			await this._sleep.wait(this._backoff.remainingMs);
		}
	}

	private _itemOf(batch: readonly AuditRecord[]): Omit<TableItem, 'revision'> {
		const [first] = batch;
		const latestMs = Math.max(...batch.map(({atMs}) => atMs));
		return {
			partition: partitionOf(latestMs),
			sort: batchSortKey(latestMs, first),
			changeId: `${first.node}/${first.sequence}/${this._writerId}`,
			body: JSON.stringify(batch),
		};
	}

	private async _pause(durationMs: number): Promise<void> {
		if (!this._isFlushing && durationMs > 0) {
			await this._sleep.wait(durationMs);
		}
	}

	private _reportBatch(outcome: 'written' | 'dropped', count: number, droppedCount: number): void {
		const {log, metrics} = this._services;
		metrics.count('auditEntriesTotal', {outcome}, count);
		metrics.gauge('auditBufferedEntries', this._buffer.size);
		if (droppedCount > 0) {
			log.event('auditEntriesDropped', {count: droppedCount});
		}
	}
}
