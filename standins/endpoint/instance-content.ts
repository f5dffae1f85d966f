/**
 * The content of one instance: its log, and its tables with the part of the log that is applied.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {LogPosition} from '../../src/common/positions/log-position.js';
import type {Clock} from '../../src/common/services/services.js';
import {ApplyQueue} from './apply-queue.js';
import {Database} from './store/database.js';
import {ReplicatedLog} from './store/replicated-log.js';
import type {Change, LogEntry, StreamMessage} from './types.js';

/** Log and tables of one instance. */
export class InstanceContent implements Disposable {
	/** The tables with every applied entry, which is what reads see. */
	readonly database = new Database();
	readonly log: ReplicatedLog;
	private readonly _queue: ApplyQueue;
	private readonly _onApplied: () => void;
	private _appliedOffset = 0;

	constructor(entriesKept: number, clock: Clock, onApplied: () => void) {
		this.log = new ReplicatedLog(entriesKept);
		this._onApplied = onApplied;
		this._queue = new ApplyQueue(clock, offset => {
			this._applyUpTo(offset);
			this._onApplied();
		});
	}

	/** Position up to which entries are applied. */
	get applied(): LogPosition {
		return {term: this.log.termAt(this._appliedOffset), offset: this._appliedOffset};
	}

	/** Appends an entry that this instance creates as primary, and applies it at once. */
	appendOwn(term: number, changes: readonly Change[]): LogPosition {
		const offset = this.log.end.offset + 1;
		this.log.append({term, offset, changes});
		this._applyUpTo(offset);
		return {term, offset};
	}

	/** Appends entries that the primary sent, and applies them after a delay in milliseconds. */
	receive(entries: readonly LogEntry[], delayMs: number): void {
		for (const entry of entries) {
			this.log.append(entry);
		}

		this._queue.add(this.log.end.offset, delayMs);
	}

	/** Truncates what the primary does not have, or replaces the whole content by the snapshot of the primary. */
	join(start: Extract<StreamMessage, {kind: 'start'}>): void {
		if (start.snapshot) {
			const {position, terms, changes} = start.snapshot;
			this._queue.clear();
			this.database.clear();
			this.database.apply(changes);
			this.log.reset(position.offset, terms);
			this._appliedOffset = position.offset;
		} else if (start.keptOffset < this.log.end.offset) {
			this._applyNow(start.keptOffset);
			this.log.truncate(start.keptOffset);
			this._appliedOffset = Math.min(this._appliedOffset, start.keptOffset);
		}
	}

	/** Applies all received entries without further delay. */
	applyAll(): void {
		this._applyNow(this.log.end.offset);
	}

	dispose(): void {
		this._queue.dispose();
	}

	/** Applies the log up to an offset without its delay, and removes all scheduled applications. */
	private _applyNow(offset: number): void {
		this._queue.clear();
		this._applyUpTo(offset);
	}

	private _applyUpTo(offset: number): void {
		while (this._appliedOffset < offset) {
			this._appliedOffset += 1;
			const undo = this.database.apply(this.log.entry(this._appliedOffset).changes);
			this.log.recordApplied(this._appliedOffset, undo);
		}
	}
}
