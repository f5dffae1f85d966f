/**
 * The transaction state of one connection: explicit transactions from BEGIN, and implicit ones.
 */
import type {SqlEngine} from './engine.js';
import {SqlError} from './sql-error.js';
import {Transaction} from './transaction.js';

/** Status in ReadyForQuery: idle, in an explicit transaction, or in a failed one. */
export type StatusCode = 'I' | 'T' | 'E';

/** Holds at most one transaction. Without BEGIN it is implicit and ends with the request cycle, when `commitImplicit` or `fail` is called. */
export class SessionTransaction {
	private readonly _engine: SqlEngine;
	private readonly _isReadOnlyByDefault: () => boolean;
	private _current: Transaction | undefined;
	private _isExplicit = false;
	private _isFailed = false;
	private _startedMs = 0;

	constructor(engine: SqlEngine, isReadOnlyByDefault: () => boolean) {
		this._engine = engine;
		this._isReadOnlyByDefault = isReadOnlyByDefault;
	}

	get status(): StatusCode {
		if (!this._isExplicit) {
			return 'I';
		}

		return this._isFailed ? 'E' : 'T';
	}

	/** Error with which the transaction was terminated from outside its statements; undefined if it was not. */
	get terminationError(): SqlError | undefined {
		return this._current?.terminationError;
	}

	/** Wall-clock time at which the last transaction began, in milliseconds. */
	get startedMs(): number {
		return this._startedMs;
	}

	/** Returns the transaction for the next statement, and begins one if there is none. */
	open(): Transaction {
		if (!this._current) {
			this._current = this._createTransaction();
			this._startedMs = this._engine.clock.wallClockMs();
		}

		return this._current;
	}

	/** Returns the transaction that a statement would run in, without beginning one. */
	peek(): Transaction {
		return this._current ?? this._createTransaction();
	}

	/** Runs BEGIN; ignored within an explicit transaction. */
	begin(isReadOnly: boolean | undefined): void {
		if (this._isExplicit) {
			return;
		}

		this.open();
		this._isExplicit = true;
		if (isReadOnly !== undefined) {
			this.setReadOnly(isReadOnly);
		}
	}

	/** Sets whether the open transaction is read-only; returns false if there is none. */
	setReadOnly(isReadOnly: boolean): boolean {
		if (!this._current) {
			return false;
		}

		if (!isReadOnly && !this._engine.instance.isPrimary) {
			throw new SqlError('25006', 'cannot set transaction read-write mode on a replica');
		}

		this._current.isReadOnly = isReadOnly;
		return true;
	}

	/** Runs COMMIT and returns the command tag. A failed transaction is rolled back instead. */
	commit(): string {
		const isFailed = this._isFailed;
		this._isExplicit = false;
		this._isFailed = false;
		if (isFailed) {
			this._discard();
			return 'ROLLBACK';
		}

		this._commitChanges();
		return 'COMMIT';
	}

	/** Runs ROLLBACK and returns the command tag. */
	rollback(): string {
		this._isExplicit = false;
		this._isFailed = false;
		this._discard();
		return 'ROLLBACK';
	}

	/** Commits the implicit transaction, if there is one. */
	commitImplicit(): void {
		if (!this._isExplicit) {
			this._commitChanges();
		}
	}

	/** Records that a statement failed: the changes are discarded, and an explicit transaction can only be rolled back from now on. */
	fail(): void {
		this._discard();
		this._isFailed = this._isExplicit;
	}

	/** Terminates the open transaction with an error, if it has changes, holds locks or waits for one; its locks are released. */
	endIfWriting(error: SqlError): void {
		const transaction = this._current;
		if (transaction && (transaction.hasWrites || transaction.locks.size > 0 || transaction.awaitedLock !== undefined)) {
			transaction.terminationError = error;
			this._engine.locks.releaseAll(transaction);
		}
	}

	/** Discards the transaction when its connection ends. The error is set too, so that a statement that is about to resume acquires no more locks. */
	abandon(error: SqlError): void {
		if (this._current) {
			this._current.terminationError = error;
			this._discard();
		}
	}

	private _createTransaction(): Transaction {
		return new Transaction(this._engine.instance.database, this._isReadOnlyByDefault());
	}

	private _commitChanges(): void {
		const transaction = this._current;
		if (!transaction) {
			return;
		}

		try {
			this._appendChanges(transaction);
		} finally {
			this._discard();
		}
	}

	private _appendChanges(transaction: Transaction): void {
		if (transaction.terminationError) {
			throw transaction.terminationError;
		}

		if (!transaction.hasWrites) {
			return;
		}

		if (!transaction.matchesCatalog()) {
			throw new SqlError('40001', 'a table that the transaction wrote to was dropped or replaced concurrently');
		}

		if (!this._engine.instance.append(transaction.changes())) {
			throw new SqlError('25006', 'cannot commit: this instance is no longer the primary');
		}

		this._engine.countCommit();
	}

	private _discard(): void {
		if (this._current) {
			this._engine.locks.releaseAll(this._current);
			this._current = undefined;
		}
	}
}
