/**
 * Compiled expressions and what they are evaluated with.
 */
import type {Row, SqlValue} from '../types.js';
import {SqlError} from './sql-error.js';
import {convertValue, sqlTypes, type SqlType} from './sql-types.js';

/** What expressions may ask of the connection that runs them. */
export type SessionFacts = {
	readonly user: string;
	readonly database: string;
	readonly processId: number;
	readonly isReplica: boolean;
	/** Wall-clock time of the transaction's start, in milliseconds. */
	readonly transactionTimeMs: number;
	wallClockMs(): number;
	random(): number;
	setting(name: string): string | undefined;
};

/** What one evaluation sees. */
export type Evaluation = {
	readonly row: Row;
	/** The row that an INSERT with ON CONFLICT proposed. */
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
	/** Value of a constant. */
	readonly literal?: {readonly value: SqlValue};
	/** Column of the table, where it is just that. */
	readonly columnIndex?: number;
};

/** A row without columns, for expressions that read none. */
export const emptyRow: Row = [];

/** An expression with a fixed value. */
export function literal(value: SqlValue, type: SqlType): Expression {
	return {
		type, readsRow: false, evaluate: () => value, literal: {value},
	};
}

/** Makes an expression one of another type; constants are converted once. */
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

/** Gives a constant without a type the type text. */
export function resolveUnknownType(expression: Expression): Expression {
	return expression.type === sqlTypes.unknown ? coerce(expression, sqlTypes.text) : expression;
}

/** An expression that must be a condition. */
export function asCondition(expression: Expression): Expression {
	const condition = expression.type === sqlTypes.unknown ? coerce(expression, sqlTypes.bool) : expression;
	if (condition.type !== sqlTypes.bool) {
		throw new SqlError('42804', `argument must be type boolean, not type ${condition.type.name}`);
	}

	return condition;
}

/** Orders two values of one type; text in code unit order. */
export function compareValues(a: Exclude<SqlValue, undefined>, b: Exclude<SqlValue, undefined>): number {
	if (a < b) {
		return -1;
	}

	return a > b ? 1 : 0;
}
