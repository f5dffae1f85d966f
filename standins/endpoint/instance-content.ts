/**
 * What one instance holds: its log, and its tables with as much of the log as is applied.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {LogPosition} from '../../src/common/positions/log-position.js';
import type {Clock} from '../../src/common/services/services.js';
import {ApplyQueue} from './apply-queue.js';
import {Database} from './store/database.js';
import {ReplicatedLog} from './store/replicated-log.js';
import type {Change, LogEntry, StreamMessage} from './types.js';

/** Log and tables. */
export class InstanceContent implements Disposable {
	/** What reads see: the tables with every applied entry. */
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

	/** Adds an entry of this instance's own and applies it at once. */
	appendOwn(term: number, changes: readonly Change[]): LogPosition {
		const offset = this.log.end.offset + 1;
		this.log.append({term, offset, changes});
		this._applyUpTo(offset);
		return {term, offset};
	}

	/** Adds entries of the primary, and applies them after a delay. */
	receive(entries: readonly LogEntry[], delayMs: number): void {
		for (const entry of entries) {
			this.log.append(entry);
		}

		this._queue.add(this.log.end.offset, delayMs);
	}

	/** Drops what the primary does not have, or takes its whole content over. */
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

	/** Applies everything that was received. */
	applyAll(): void {
		this._applyNow(this.log.end.offset);
	}

	dispose(): void {
		this._queue.dispose();
	}

	/** Applies a part of the log without its delay, and forgets the delays of the rest. */
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
