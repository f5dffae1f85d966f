/**
 * SQL of one connection: its transaction, its settings, and what it waits for.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import type {
	DeallocateStmt, DefElem, DiscardStmt, Node, TransactionStmt, VariableSetStmt, VariableShowStmt,
} from 'libpg-query';
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';
import type {SqlValue} from '../types.js';
import type {SqlEngine} from './engine.js';
import type {SessionFacts} from './expression.js';
import type {
	Execution, ResultColumn, StatementResult, Steps,
} from './plan.js';
import {
	isDataStatement, planStatement, type ParsedStatement, type Planned,
} from './planner.js';
import {SessionSettings} from './settings.js';
import {SqlError, notSupported} from './sql-error.js';
import {sqlTypes, type SqlType} from './sql-types.js';
import {Transaction} from './transaction.js';
import {sleep, type Wait} from './wait.js';

/** Status in ReadyForQuery: idle, in a transaction, in a failed one. */
export type StatusCode = 'I' | 'T' | 'E';

/** Who the session belongs to. */
export type SessionIdentity = {
	readonly user: string;
	readonly database: string;
	readonly processId: number;
};

/** What a client is told of a statement before it runs. */
export type StatementDescription = {
	readonly parameterTypes: readonly SqlType[];
	readonly columns: readonly ResultColumn[] | undefined;
};

/** Called around waits for locks, so that the statement's slot is free meanwhile. */
export type LockWaitHooks = {
	before(): void;
	after(): Promise<void> | undefined;
};

type UtilityHandler = (session: SqlSession, body: never) => StatementResult;

const textColumn = (name: string): ResultColumn[] => [{name, type: sqlTypes.text}];

const utilities: Readonly<Record<string, UtilityHandler>> = {
	TransactionStmt: (session, body: TransactionStmt) => session.runTransactionStatement(body),
	VariableSetStmt: (session, body: VariableSetStmt) => session.runSet(body),
	VariableShowStmt: (session, body: VariableShowStmt) => ({tag: 'SHOW', rows: [[session.settings.show(body.name ?? '')]]}),
	DiscardStmt: (session, body: DiscardStmt) => session.runDiscard(body),
	DeallocateStmt: (session, body: DeallocateStmt) => session.runDeallocate(body),
};

type TransactionStep = (session: SqlSession, body: TransactionStmt) => string;

const transactionSteps: Readonly<Record<string, TransactionStep>> = {
	TRANS_STMT_BEGIN(session, body) {
		session.begin(body);
		return 'BEGIN';
	},
	TRANS_STMT_START(session, body) {
		session.begin(body);
		return 'START TRANSACTION';
	},
	TRANS_STMT_COMMIT: session => session.endExplicit(true),
	TRANS_STMT_ROLLBACK: session => session.endExplicit(false),
};

/** Runs statements; one at a time. */
export class SqlSession implements Disposable {
	readonly settings = new SessionSettings();
	readonly facts: SessionFacts;
	/** Called when a prepared statement, or without a name all, are dropped by DISCARD or DEALLOCATE. */
	onDeallocate: ((name?: string) => void) | undefined;
	lockWaitHooks: LockWaitHooks | undefined;
	private readonly _engine: SqlEngine;
	private _transaction: Transaction | undefined;
	private _isExplicit = false;
	private _isFailed = false;
	private _transactionTimeMs = 0;
	private _wait: Wait | undefined;
	private _isDisposed = false;

	constructor(engine: SqlEngine, identity: SessionIdentity) {
		this._engine = engine;
		this.facts = this._makeFacts(identity);
		engine.register(this);
	}

	get status(): StatusCode {
		if (!this._isExplicit) {
			return 'I';
		}

		return this._isFailed ? 'E' : 'T';
	}

	/** Types of parameters and result columns; plans are made here, so unknown names are refused. */
	describe(statement: ParsedStatement, declaredTypes: ReadonlyArray<SqlType | undefined>): StatementDescription {
		this._refuseIfFailed(statement);
		if (isDataStatement(statement)) {
			const {plan, parameterTypes} = this._plan(statement, declaredTypes, this._transaction ?? this._newTransaction());
			return {parameterTypes, columns: plan.columns};
		}

		const name = 'VariableShowStmt' in statement.node ? statement.node.VariableShowStmt.name ?? '' : undefined;
		return {parameterTypes: [], columns: name === undefined ? undefined : textColumn(name)};
	}

	/** Runs one statement. Throws, or rejects with, a SqlError; the caller then calls `onError`. */
	execute(statement: ParsedStatement, declaredTypes: ReadonlyArray<SqlType | undefined>, parameters: readonly SqlValue[]): StatementResult | Promise<StatementResult> {
		this._refuseIfFailed(statement);
		this._refuseIfEnded(statement);
		if (this._isDisposed) {
			throw endedError();
		}

		if (isDataStatement(statement)) {
			return this._executeData(statement, declaredTypes, parameters);
		}

		const utility = utilities[statement.kind] as UtilityHandler | undefined;
		if (!utility) {
			throw notSupported(`a statement of kind ${statement.kind}`);
		}

		return utility(this, statement.body as never); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the kind decides the content's type.
	}

	/** Commits what ran outside BEGIN and COMMIT since the last call. */
	finishCycle(): void {
		if (!this._isExplicit && this._transaction) {
			this._commit();
		}
	}

	/** A statement failed: an open transaction can only be rolled back now. */
	onError(): void {
		this._dropTransaction();
		this._isFailed = this._isExplicit;
	}

	/** Makes what the session waits for fail, if it waits. */
	cancelWait(error: SqlError): void {
		this._wait?.fail(error);
	}

	/** Waits in a way that `cancelWait` can end. */
	async waitFor(wait: Wait): Promise<void> {
		this._wait = wait;
		try {
			await wait.promise;
		} finally {
			this._wait = undefined;
		}
	}

	/** Ends an open transaction that writes, from outside. */
	endWriteTransaction(error: SqlError): void {
		const transaction = this._transaction;
		if (!transaction || (!transaction.hasWrites && transaction.locks.size === 0 && !transaction.awaitedLock)) {
			return;
		}

		transaction.endedBy = error;
		this._engine.locks.releaseAll(transaction);
		if (this._wait?.isForLock) {
			this._wait.fail(error);
		}
	}

	dispose(): void {
		this._isDisposed = true;
		this.cancelWait(endedError());
		if (this._transaction) {
			// A statement that is about to go on must not take locks any more.
			this._transaction.endedBy = endedError();
		}

		this._dropTransaction();
		this._engine.forget(this);
	}

	runTransactionStatement(body: TransactionStmt): StatementResult {
		const step = transactionSteps[body.kind ?? ''] as TransactionStep | undefined;
		if (!step) {
			throw notSupported(`the transaction statement ${body.kind}`);
		}

		return {tag: step(this, body)};
	}

	/** BEGIN. */
	begin(body: TransactionStmt): void {
		if (this._isExplicit) {
			return;
		}

		const transaction = this._openTransaction();
		const isReadOnly = readOnlyOption(body.options);
		if (isReadOnly !== undefined) {
			this._setReadOnly(transaction, isReadOnly);
		}

		this._isExplicit = true;
	}

	/** COMMIT and ROLLBACK; a failed transaction can only be rolled back. */
	endExplicit(wantsCommit: boolean): string {
		const isCommit = wantsCommit && !this._isFailed;
		this._isExplicit = false;
		this._isFailed = false;
		if (!isCommit) {
			this._dropTransaction();
			return 'ROLLBACK';
		}

		this._commit();
		return 'COMMIT';
	}

	runSet(body: VariableSetStmt): StatementResult {
		const isTransaction = body.kind === 'VAR_SET_MULTI';
		if (isTransaction) {
			const isReadOnly = readOnlyOption(body.args);
			if (body.name === 'TRANSACTION' && this._transaction && isReadOnly !== undefined) {
				this._setReadOnly(this._transaction, isReadOnly);
			} else if (isReadOnly !== undefined) {
				this.settings.set('default_transaction_read_only', isReadOnly ? 'on' : 'off');
			}
		} else {
			this.settings.apply(body);
		}

		return {tag: body.kind?.startsWith('VAR_RESET') ? 'RESET' : 'SET'};
	}

	runDiscard(body: DiscardStmt): StatementResult {
		if (this._isExplicit) {
			throw new SqlError('25001', 'DISCARD ALL cannot run inside a transaction block');
		}

		this.settings.reset();
		this.onDeallocate?.();
		return {tag: `DISCARD ${body.target?.replace('DISCARD_', '') ?? 'ALL'}`};
	}

	runDeallocate(body: DeallocateStmt): StatementResult {
		this.onDeallocate?.(body.name);
		return {tag: body.name === undefined ? 'DEALLOCATE ALL' : 'DEALLOCATE'};
	}

	private _makeFacts(identity: SessionIdentity): SessionFacts {
		const engine = this._engine;
		const transactionTimeMs = (): number => this._transactionTimeMs;
		return {
			...identity,
			get isReplica() {
				return !engine.instance.isPrimary;
			},
			get transactionTimeMs() {
				return transactionTimeMs();
			},
			wallClockMs: () => engine.clock.wallClockMs(),
			random: () => engine.random.next(),
			setting: name => this.settings.value(name),
		};
	}

	private _executeData(statement: ParsedStatement, declaredTypes: ReadonlyArray<SqlType | undefined>, parameters: readonly SqlValue[]): StatementResult | Promise<StatementResult> {
		if (this._engine.instance.role === 'rebuilding') {
			throw new SqlError('57P03', 'this instance is rebuilding and takes no statements');
		}

		const transaction = this._openTransaction();
		const {plan} = this._plan(statement, declaredTypes, transaction);
		if (plan.isWrite) {
			this._refuseWrite(transaction);
		}

		const execution: Execution = {
			transaction, parameters, facts: this.facts, locks: this._engine.locks, sleep: delayMs => sleep(this._engine.clock, delayMs),
		};
		const run = plan.run(execution);
		return 'tag' in run ? run : this._step(run, transaction);
	}

	private _plan(statement: ParsedStatement, declaredTypes: ReadonlyArray<SqlType | undefined>, transaction: Transaction): Planned {
		return planStatement(statement, declaredTypes, transaction, this._engine.instance.database.catalogVersion);
	}

	/** Runs steps at once as far as nothing must be waited for. */
	private _step(steps: Steps<StatementResult>, transaction: Transaction): StatementResult | Promise<StatementResult> {
		const first = steps.next();
		return first.done ? first.value : this._continue(steps, first.value, transaction);
	}

	private async _continue(steps: Steps<StatementResult>, firstWait: Wait, transaction: Transaction): Promise<StatementResult> {
		let wait = firstWait;
		for (;;) {
			await this._waitInStatement(wait);
			if (transaction.endedBy) {
				throw transaction.endedBy;
			}

			const next = steps.next();
			if (next.done) {
				return next.value;
			}

			wait = next.value;
		}
	}

	private async _waitInStatement(wait: Wait): Promise<void> {
		if (!wait.isForLock || !this.lockWaitHooks) {
			await this.waitFor(wait);
			return;
		}

		this.lockWaitHooks.before();
		try {
			await this.waitFor(wait);
		} finally {
			await this.lockWaitHooks.after();
		}
	}

	private _newTransaction(): Transaction {
		return new Transaction(this._engine.instance.database, this.settings.value('default_transaction_read_only') === 'on');
	}

	private _openTransaction(): Transaction {
		if (!this._transaction) {
			this._transaction = this._newTransaction();
			this._transactionTimeMs = this._engine.clock.wallClockMs();
		}

		return this._transaction;
	}

	private _setReadOnly(transaction: Transaction, isReadOnly: boolean): void {
		if (!isReadOnly && !this._engine.instance.isPrimary) {
			throw new SqlError('25006', 'cannot set transaction read-write mode on a replica');
		}

		transaction.isReadOnly = isReadOnly;
	}

	private _commit(): void {
		const transaction = this._transaction;
		if (!transaction) {
			return;
		}

		try {
			this._append(transaction);
		} finally {
			this._dropTransaction();
		}
	}

	private _append(transaction: Transaction): void {
		if (transaction.endedBy) {
			throw transaction.endedBy;
		}

		if (!transaction.hasWrites) {
			return;
		}

		if (!transaction.fitsCatalog()) {
			throw new SqlError('40001', 'a table that the transaction wrote to was changed meanwhile');
		}

		if (!this._engine.instance.append(transaction.changes())) {
			throw new SqlError('25006', 'cannot commit: this instance is no longer the primary');
		}

		this._engine.commitCount += 1;
	}

	private _dropTransaction(): void {
		if (this._transaction) {
			this._engine.locks.releaseAll(this._transaction);
			this._transaction = undefined;
		}
	}

	private _refuseWrite(transaction: Transaction): void {
		if (!this._engine.instance.isPrimary) {
			throw new SqlError('25006', 'cannot write on a replica');
		}

		if (transaction.isReadOnly) {
			throw new SqlError('25006', 'cannot write in a read-only transaction');
		}
	}

	private _refuseIfFailed(statement: ParsedStatement): void {
		if (!this._isFailed) {
			return;
		}

		const kind = 'TransactionStmt' in statement.node ? statement.node.TransactionStmt.kind : undefined;
		if (kind !== 'TRANS_STMT_COMMIT' && kind !== 'TRANS_STMT_ROLLBACK') {
			throw new SqlError('25P02', 'current transaction is aborted, commands ignored until end of transaction block');
		}
	}

	/** A transaction that the instance ended says so at its next statement, or refuses its COMMIT. */
	private _refuseIfEnded(statement: ParsedStatement): void {
		const error = this._transaction?.endedBy;
		if (error && statement.kind !== 'TransactionStmt') {
			throw error;
		}
	}
}

function endedError(): SqlError {
	return new SqlError('57P01', 'the connection ended');
}

function readOnlyOption(nodes: readonly Node[] | undefined): boolean | undefined {
	const options = (nodes ?? []).flatMap((node): DefElem[] => 'DefElem' in node ? [node.DefElem] : []);
	const option = options.find(({defname}) => defname === 'transaction_read_only');
	if (!option) {
		return undefined;
	}

	return option.arg && 'A_Const' in option.arg ? option.arg.A_Const.ival?.ival === 1 : false;
}
