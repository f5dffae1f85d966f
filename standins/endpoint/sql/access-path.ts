/**
 * Finds the rows for which a WHERE clause holds: by primary key if the clause determines it, otherwise by a scan.
 */
import type {A_Expr as OperatorExpression, Node} from 'libpg-query';
import type {Table} from '../store/table.js';
import {encodeKey} from '../store/table.js';
import type {Row, SqlValue} from '../types.js';
import {parseArray} from './array-text.js';
import type {Compilation} from './compilation.js';
import {compileExpression, namesOf} from './compile-expression.js';
import {
	asCondition, coerce, emptyRow, type Evaluation, type Expression,
} from './expression.js';
import {convertValue, sqlTypes, typeNamed} from './sql-types.js';
import type {Transaction} from './transaction.js';

/** A key with its row. */
export type KeyedRow = readonly [string, Row];

/** Access to the rows of a table for which a condition holds. */
export type AccessPath = {
	readonly rows: (transaction: Transaction, evaluation: Omit<Evaluation, 'row'>) => KeyedRow[];
	/** Evaluates the whole condition on one row, to check it again after waiting for a lock. */
	readonly matches: (row: Row, evaluation: Omit<Evaluation, 'row'>) => boolean;
};

type KeyFinder = (evaluation: Evaluation) => readonly string[];

/** Plans the access to a table. */
export function planAccess(table: Table, where: Node | undefined, compilation: Compilation): AccessPath {
	const condition = where ? asCondition(compileExpression(where, compilation, sqlTypes.bool)) : undefined;
	const findKeys = where ? planKeys(table, where, compilation) : undefined;

	function holds(row: Row, evaluation: Omit<Evaluation, 'row'>): boolean {
		return !condition || condition.evaluate({row, parameters: evaluation.parameters, facts: evaluation.facts}) === true;
	}

	return {
		matches: holds,
		rows(transaction, evaluation) {
			return findKeys
				? rowsOfKeys(table, findKeys({row: emptyRow, parameters: evaluation.parameters, facts: evaluation.facts}), transaction).filter(([, row]) => holds(row, evaluation))
				: scan(table, transaction, row => holds(row, evaluation));
		},
	};
}

function scan(table: Table, transaction: Transaction, accepts: (row: Row) => boolean): KeyedRow[] {
	const found: KeyedRow[] = [];
	for (const keyed of transaction.rows(table)) {
		if (accepts(keyed[1])) {
			found.push(keyed);
		}
	}

	return found;
}

function rowsOfKeys(table: Table, keys: readonly string[], transaction: Transaction): KeyedRow[] {
	const found: KeyedRow[] = [];
	for (const key of keys) {
		const row = transaction.row(table, key);
		if (row) {
			found.push([key, row]);
		}
	}

	return found;
}

function conjuncts(node: Node): readonly Node[] {
	if ('BoolExpr' in node && node.BoolExpr.boolop === 'AND_EXPR') {
		return (node.BoolExpr.args ?? []).flatMap(argument => conjuncts(argument));
	}

	return [node];
}

/** Plans how to compute the keys, if the condition determines every column of the primary key; undefined otherwise. */
function planKeys(table: Table, where: Node, compilation: Compilation): KeyFinder | undefined {
	const {keyColumns} = table.definition;
	if (keyColumns.length === 0) {
		return undefined;
	}

	const parts = conjuncts(where).flatMap(node => 'A_Expr' in node ? [node.A_Expr] : []);
	const fixed = new Map<number, Expression>();
	for (const part of parts) {
		collectEquality(table, part, compilation, fixed);
	}

	const expressions = keyColumns.map(index => fixed.get(index)).filter(expression => expression !== undefined);
	if (expressions.length === keyColumns.length) {
		return evaluation => {
			const values = expressions.map(expression => expression.evaluate(evaluation));
			return values.includes(undefined) ? [] : [encodeKey(values)];
		};
	}

	return keyColumns.length === 1 ? parts.map(part => planKeyList(table, part, compilation)).find(finder => finder !== undefined) : undefined;
}

/** Adds the value of a condition `column = value` or `value = column` to `fixed`, if the column is part of the primary key. */
function collectEquality(table: Table, part: OperatorExpression, compilation: Compilation, fixed: Map<number, Expression>): void {
	if (part.kind !== 'AEXPR_OP' || namesOf(part.name).at(-1) !== '=') {
		return;
	}

	for (const [columnNode, valueNode] of [[part.lexpr, part.rexpr], [part.rexpr, part.lexpr]]) {
		const index = keyColumn(table, columnNode, compilation);
		const value = index === undefined ? undefined : compileExpression(valueNode, compilation);
		if (index !== undefined && value && !value.readsRow) {
			fixed.set(index, coerce(value, typeNamed(table.definition.columns[index].type)));
		}
	}
}

function keyColumn(table: Table, node: Node | undefined, compilation: Compilation): number | undefined {
	if (!node || !('ColumnRef' in node)) {
		return undefined;
	}

	const {columnIndex} = compileExpression(node, compilation);
	return columnIndex !== undefined && table.definition.keyColumns.includes(columnIndex) ? columnIndex : undefined;
}

/** Plans the keys of `column IN (...)` and `column = ANY (...)` for a key column. */
function planKeyList(table: Table, part: OperatorExpression, compilation: Compilation): KeyFinder | undefined {
	const index = keyColumn(table, part.lexpr, compilation);
	if (index === undefined || namesOf(part.name).at(-1) !== '=') {
		return undefined;
	}

	const type = typeNamed(table.definition.columns[index].type);
	if (part.kind === 'AEXPR_OP_ANY') {
		const array = compileExpression(part.rexpr, compilation, sqlTypes.text);
		return array.readsRow
			? undefined
			: evaluation => {
				const text = array.evaluate(evaluation);
				return text === undefined ? [] : distinctKeys(parseArray(String(text)).map(item => convertValue(item, sqlTypes.text, type)));
			};
	}

	if (part.kind !== 'AEXPR_IN' || !part.rexpr || !('List' in part.rexpr)) {
		return undefined;
	}

	const items = (part.rexpr.List.items ?? []).map(item => coerce(compileExpression(item, compilation, type), type));
	return items.some(item => item.readsRow) ? undefined : evaluation => distinctKeys(items.map(item => item.evaluate(evaluation)));
}

function distinctKeys(values: readonly SqlValue[]): string[] {
	return [...new Set(values.filter(value => value !== undefined).map(value => encodeKey([value])))];
}
