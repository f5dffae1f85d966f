/**
 * The transaction of one connection, from BEGIN or the first statement to its end.
 */
import type {SqlEngine} from './engine.js';
import {SqlError} from './sql-error.js';
import {Transaction} from './transaction.js';

/** Status in ReadyForQuery: idle, in a transaction, in a failed one. */
export type StatusCode = 'I' | 'T' | 'E';

/** At most one transaction at a time; without BEGIN it ends with the request cycle. */
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

	/** Why the instance ended it from outside, if it did. */
	get terminationError(): SqlError | undefined {
		return this._current?.terminationError;
	}

	/** Wall-clock time at which it began. */
	get startedMs(): number {
		return this._startedMs;
	}

	/** The transaction that a statement runs in; it begins here if there is none. */
	open(): Transaction {
		if (!this._current) {
			this._current = this._createTransaction();
			this._startedMs = this._engine.clock.wallClockMs();
		}

		return this._current;
	}

	/** What a statement would run in, without beginning anything. */
	peek(): Transaction {
		return this._current ?? this._createTransaction();
	}

	/** BEGIN. */
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

	/** Makes the open transaction read-only or not; false when there is none. */
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

	/** COMMIT: a failed transaction is rolled back. Gives the command tag. */
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

	/** ROLLBACK. Gives the command tag. */
	rollback(): string {
		this._isExplicit = false;
		this._isFailed = false;
		this._discard();
		return 'ROLLBACK';
	}

	/** Commits what ran outside BEGIN and COMMIT. */
	commitImplicit(): void {
		if (!this._isExplicit) {
			this._commitChanges();
		}
	}

	/** A statement failed: an explicit transaction can only be rolled back now. */
	fail(): void {
		this._discard();
		this._isFailed = this._isExplicit;
	}

	/** Ends it from outside if it writes. */
	endIfWriting(error: SqlError): void {
		const transaction = this._current;
		if (transaction && (transaction.hasWrites || transaction.locks.size > 0 || transaction.awaitedLock !== undefined)) {
			transaction.terminationError = error;
			this._engine.locks.releaseAll(transaction);
		}
	}

	/** Ends it for good; a statement that is about to go on must not take locks any more. */
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
			throw new SqlError('40001', 'a table that the transaction wrote to was changed meanwhile');
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
