/**
 * What compiled statements look like, and what they run with.
 */
import type {Row, SqlValue} from '../types.js';
import type {SessionFacts} from './expression.js';
import type {LockTable} from './lock-table.js';
import type {SqlType} from './sql-types.js';
import type {Transaction} from './transaction.js';
import type {Wait} from './wait.js';

/** A column of an answer. */
export type ResultColumn = {
	readonly name: string;
	readonly type: SqlType;
};

/** What a statement answers. */
export type StatementResult = {
	/** Command tag without the number of rows for rows that are answered. */
	readonly tag: string;
	readonly rows?: readonly Row[];
};

/** What one run of a plan needs. */
export type Execution = {
	readonly transaction: Transaction;
	readonly parameters: readonly SqlValue[];
	readonly facts: SessionFacts;
	readonly locks: LockTable;
	/** Waits for a time. */
	readonly sleep: (delayMs: number) => Wait;
};

/** Steps of a run that may have to wait in between. */
export type Steps<T> = Generator<Wait, T, undefined>;

/** A compiled statement of data. */
export type Plan = {
	readonly isWrite: boolean;
	readonly columns?: readonly ResultColumn[];
	/** Runs at once, or in steps where it may have to wait. */
	readonly run: (execution: Execution) => StatementResult | Steps<StatementResult>;
};
