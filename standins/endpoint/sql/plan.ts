/**
 * Types of compiled statements and of their execution.
 */
import type {Row, SqlValue} from '../types.js';
import type {SessionFacts} from './expression.js';
import type {LockTable} from './lock-table.js';
import type {SqlType} from './sql-types.js';
import type {Transaction} from './transaction.js';
import type {Wait} from './wait.js';

/** A column of a result. */
export type ResultColumn = {
	readonly name: string;
	readonly type: SqlType;
};

/** Result of a statement. */
export type StatementResult = {
	/** Command tag; for SELECT without the number of rows, which is added when they are sent. */
	readonly tag: string;
	readonly rows?: readonly Row[];
};

/** Input of one execution of a plan. */
export type Execution = {
	readonly transaction: Transaction;
	readonly parameters: readonly SqlValue[];
	readonly facts: SessionFacts;
	readonly locks: LockTable;
	/** Creates a wait that resolves after a delay in milliseconds. */
	readonly sleep: (delayMs: number) => Wait;
};

/** Steps of an execution; it yields what it must wait for before the next step. */
export type Steps<T> = Generator<Wait, T, undefined>;

/** A compiled statement on data. */
export type Plan = {
	readonly isWrite: boolean;
	readonly columns?: readonly ResultColumn[];
	/** Executes the plan; returns the result, or steps if the execution may have to wait. */
	readonly run: (execution: Execution) => StatementResult | Steps<StatementResult>;
};
