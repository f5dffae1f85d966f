/**
 * Compiled expressions, and the input of their evaluation.
 */
import type {Row, SqlValue} from '../types.js';
import {SqlError} from './sql-error.js';
import {convertValue, sqlTypes, type SqlType} from './sql-types.js';

/** Facts about the session that expressions may read. */
export type SessionFacts = {
	readonly user: string;
	readonly database: string;
	readonly processId: number;
	readonly isReplica: boolean;
	/** Wall-clock time at which the transaction started, in milliseconds. */
	readonly transactionTimeMs: number;
	wallClockMs(): number;
	random(): number;
	setting(name: string): string | undefined;
};

/** Input of one evaluation. */
export type Evaluation = {
	readonly row: Row;
	/** The row that an INSERT with ON CONFLICT tried to insert. */
	readonly excluded?: Row;
	readonly parameters: readonly SqlValue[];
	readonly aggregates?: readonly SqlValue[];
	readonly facts: SessionFacts;
};

/** A compiled expression. */
export type Expression = {
	readonly type: SqlType;
	/** Whether it reads a column or an aggregate. */
	readonly readsRow: boolean;
	readonly evaluate: (evaluation: Evaluation) => SqlValue;
	/** Value, if the expression is a constant. */
	readonly literal?: {readonly value: SqlValue};
	/** Index of the column, if the expression is only a column of the table. */
	readonly columnIndex?: number;
};

/** A row without columns, for expressions that read no column. */
export const emptyRow: Row = [];

/** Creates a constant expression. */
export function literal(value: SqlValue, type: SqlType): Expression {
	return {
		type, readsRow: false, evaluate: () => value, literal: {value},
	};
}

/** Converts an expression to another type; constants are converted at compile time. */
export function coerce(expression: Expression, type: SqlType): Expression {
	if (expression.type === type) {
		return expression;
	}

	if (expression.literal) {
		return literal(convertValue(expression.literal.value, expression.type, type), type);
	}

	const {evaluate, type: from, readsRow} = expression;
	return {type, readsRow, evaluate: evaluation => convertValue(evaluate(evaluation), from, type)};
}

/** Converts an expression of type unknown to text. */
export function resolveUnknownType(expression: Expression): Expression {
	return expression.type === sqlTypes.unknown ? coerce(expression, sqlTypes.text) : expression;
}

/** Checks that an expression is a condition, after converting one of type unknown to boolean. */
export function asCondition(expression: Expression): Expression {
	const condition = expression.type === sqlTypes.unknown ? coerce(expression, sqlTypes.bool) : expression;
	if (condition.type !== sqlTypes.bool) {
		throw new SqlError('42804', `argument must be type boolean, not type ${condition.type.name}`);
	}

	return condition;
}

/** Compares two values of one type; text by UTF-16 code units. */
export function compareValues(a: Exclude<SqlValue, undefined>, b: Exclude<SqlValue, undefined>): number {
	if (a < b) {
		return -1;
	}

	return a > b ? 1 : 0;
}
