/**
 * The SQL session of one connection: runs its statements one at a time.
 */
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';
import type {SqlValue} from '../types.js';
import type {SqlEngine} from './engine.js';
import type {SessionFacts} from './expression.js';
import type {
	Execution, ResultColumn, StatementResult, Steps,
} from './plan.js';
import {
	isDataStatement, planStatement, type ParsedStatement, type PlannedStatement,
} from './planner.js';
import {SessionTransaction, type StatusCode} from './session-transaction.js';
import {SessionSettings} from './settings.js';
import {SqlError} from './sql-error.js';
import {sqlTypes, type SqlType} from './sql-types.js';
import type {Transaction} from './transaction.js';
import {endsTransaction, runUtility, type UtilityTarget} from './utility-statements.js';
import {sleep, type Wait} from './wait.js';

/** Identity of a session, as SQL functions report it. */
export type SessionIdentity = {
	readonly user: string;
	readonly database: string;
	readonly processId: number;
};

/** Description of a statement for the client, before it runs. */
export type StatementDescription = {
	readonly parameterTypes: readonly SqlType[];
	readonly columns: readonly ResultColumn[] | undefined;
};

/** Called before and after each wait for a lock, so that the slot of the statement is free during the wait. */
export type LockWaitHooks = {
	before(): void;
	after(): Promise<void> | undefined;
};

/** One SQL session, with its transaction and its settings. */
export class SqlSession implements UtilityTarget, Disposable {
	readonly settings = new SessionSettings();
	readonly transaction: SessionTransaction;
	readonly facts: SessionFacts;
	/** Called when DISCARD or DEALLOCATE drops a prepared statement; without a name, all of them. */
	onDeallocate: ((name: string | undefined) => void) | undefined;
	lockWaitHooks: LockWaitHooks | undefined;
	private readonly _engine: SqlEngine;
	private readonly _sleep: (delayMs: number) => Wait;
	private _wait: Wait | undefined;
	private _isDisposed = false;

	constructor(engine: SqlEngine, identity: SessionIdentity) {
		this._engine = engine;
		this._sleep = delayMs => sleep(engine.clock, delayMs);
		this.transaction = new SessionTransaction(engine, () => this.settings.value('default_transaction_read_only') === 'on');
		this.facts = this._makeFacts(identity);
		engine.register(this);
	}

	get status(): StatusCode {
		return this.transaction.status;
	}

	/** Describes the parameters and result columns of a statement. The statement is planned for this, so unknown names are refused here. */
	describe(statement: ParsedStatement, declaredTypes: ReadonlyArray<SqlType | undefined>): StatementDescription {
		this._refuseIfFailed(statement);
		if (isDataStatement(statement)) {
			const {plan, parameterTypes} = this._plan(statement, declaredTypes, this.transaction.peek());
			return {parameterTypes, columns: plan.columns};
		}

		const name = 'VariableShowStmt' in statement.node ? statement.node.VariableShowStmt.name ?? '' : undefined;
		return {parameterTypes: [], columns: name === undefined ? undefined : [{name, type: sqlTypes.text}]};
	}

	/** Runs one statement. Throws, or rejects with, a SqlError, after which the caller must call `failTransaction`. */
	execute(statement: ParsedStatement, declaredTypes: ReadonlyArray<SqlType | undefined>, parameters: readonly SqlValue[]): StatementResult | Promise<StatementResult> {
		this._refuseIfFailed(statement);
		if (this._isDisposed) {
			throw connectionEnded();
		}

		return isDataStatement(statement) ? this._executeData(statement, declaredTypes, parameters) : runUtility(this, statement);
	}

	/** Commits the implicit transaction of the statements that ran outside BEGIN and COMMIT; without one it does nothing. */
	commitImplicitTransaction(): void {
		this.transaction.commitImplicit();
	}

	/** Records that a statement failed: an implicit transaction is rolled back, an explicit one can only be rolled back from now on. */
	failTransaction(): void {
		this.transaction.fail();
	}

	/** Makes the current wait of the session fail, if there is one. */
	cancelWait(error: SqlError): void {
		this._wait?.fail(error);
	}

	/** Waits until `wait` resolves; `cancelWait` can make it fail. */
	async waitFor(wait: Wait): Promise<void> {
		this._wait = wait;
		try {
			await wait.promise;
		} finally {
			this._wait = undefined;
		}
	}

	/** Terminates the open transaction if it has changes or locks, and makes a wait for a lock fail. */
	endWriteTransaction(error: SqlError): void {
		this.transaction.endIfWriting(error);
		if (this._wait?.isForLock) {
			this._wait.fail(error);
		}
	}

	deallocate(name: string | undefined): void {
		this.onDeallocate?.(name);
	}

	dispose(): void {
		this._isDisposed = true;
		this.cancelWait(connectionEnded());
		this.transaction.abandon(connectionEnded());
		this._engine.unregister(this);
	}

	private _makeFacts(identity: SessionIdentity): SessionFacts {
		const {_engine: engine, transaction} = this;
		return {
			...identity,
			get isReplica() {
				return !engine.instance.isPrimary;
			},
			get transactionTimeMs() {
				return transaction.startedMs;
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

		if (this.transaction.terminationError) {
			throw this.transaction.terminationError;
		}

		const transaction = this.transaction.open();
		const {plan} = this._plan(statement, declaredTypes, transaction);
		if (plan.isWrite) {
			this._checkWritable(transaction);
		}

		const execution: Execution = {
			transaction, parameters, facts: this.facts, locks: this._engine.locks, sleep: this._sleep,
		};
		const run = plan.run(execution);
		return 'tag' in run ? run : this._step(run, transaction);
	}

	private _plan(statement: ParsedStatement, declaredTypes: ReadonlyArray<SqlType | undefined>, transaction: Transaction): PlannedStatement {
		return planStatement(statement, declaredTypes, transaction, this._engine.instance.database.catalogVersion);
	}

	/** Runs the first step; the result is a promise only if the statement has to wait. */
	private _step(steps: Steps<StatementResult>, transaction: Transaction): StatementResult | Promise<StatementResult> {
		const first = steps.next();
		return first.done ? first.value : this._continue(steps, first.value, transaction);
	}

	private async _continue(steps: Steps<StatementResult>, firstWait: Wait, transaction: Transaction): Promise<StatementResult> {
		let wait = firstWait;
		for (;;) {
			await this._waitInStatement(wait);
			if (transaction.terminationError) {
				throw transaction.terminationError;
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

	private _checkWritable(transaction: Transaction): void {
		if (!this._engine.instance.isPrimary) {
			throw new SqlError('25006', 'cannot write on a replica');
		}

		if (transaction.isReadOnly) {
			throw new SqlError('25006', 'cannot write in a read-only transaction');
		}
	}

	private _refuseIfFailed(statement: ParsedStatement): void {
		if (this.status === 'E' && !endsTransaction(statement)) {
			throw new SqlError('25P02', 'current transaction is aborted, commands ignored until end of transaction block');
		}
	}
}

function connectionEnded(): SqlError {
	return new SqlError('57P01', 'the connection ended');
}
