/**
 * Buffers a bounded number of audit entries that wait to be written.
 */
import type {AuditEntry} from '../services/services.js';
import {droppedAct, type AuditOptions} from './constants.js';
import type {AuditRecord} from './types.js';

/** Drops new entries when it is full, and later adds one entry that records how many it dropped. */
export class AuditBuffer {
	private readonly _node: string;
	private readonly _options: AuditOptions;
	private readonly _waiting: AuditRecord[] = [];
	private _batch: readonly AuditRecord[] = [];
	private _sequence = 0;
	private _droppedCount = 0;

	constructor(node: string, options: AuditOptions) {
		this._node = node;
		this._options = options;
	}

	/** Number of entries that are not known to be written. */
	get size(): number {
		return this._batch.length + this._waiting.length;
	}

	/** Adds an entry; returns false if it was dropped. */
	add(entry: AuditEntry, atMs: number): boolean {
		this._sequence++;
		if (this.size >= this._options.bufferedEntries) {
			this._droppedCount++;
			return false;
		}

		this._waiting.push({
			actor: this._shorten(entry.actor),
			act: this._shorten(entry.act),
			subject: this._shorten(entry.subject),
			basis: this._shorten(entry.basis),
			outcome: this._shorten(entry.outcome),
			atMs: Math.floor(atMs),
			node: this._node,
			sequence: this._sequence,
		});
		return true;
	}

	/** The batch to write next. It stays the same until it is completed or discarded, since a retry must not differ. */
	batch(): readonly AuditRecord[] {
		if (this._batch.length === 0) {
			this._batch = this._waiting.splice(0, this._batchLength());
		}

		return this._batch;
	}

	/**
	 * Removes the batch. If entries were dropped, adds an entry that records their number; it
	 * follows the entries that were buffered before them. Returns that number.
	 */
	completeBatch(atMs: number): number {
		this._batch = [];
		const count = this._droppedCount;
		if (count > 0) {
			this._droppedCount = 0;
			this.add({
				actor: this._node,
				act: droppedAct,
				subject: this._node,
				basis: `the table did not take them; ${this._options.bufferedEntries} entries may wait`,
				outcome: `dropped ${count} entries`,
			}, atMs);
		}

		return count;
	}

	/** Removes a batch that cannot be written, and counts its entries as dropped. */
	discardBatch(atMs: number): number {
		this._droppedCount += this._batch.length;
		return this.completeBatch(atMs);
	}

	private _batchLength(): number {
		const [first] = this._waiting;
		const isFar = ({atMs}: AuditRecord): boolean => Math.abs(atMs - first.atMs) > this._options.batchSpanMs / 2;
		const end = this._waiting.findIndex(record => isFar(record));
		return Math.min(this._options.batchEntries, end === -1 ? this._waiting.length : end);
	}

	private _shorten(text: string): string {
		return text.length > this._options.fieldCharacters ? `${text.slice(0, this._options.fieldCharacters - 1)}…` : text;
	}
}
