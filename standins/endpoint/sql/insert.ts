/**
 * Plans INSERT, with ON CONFLICT and RETURNING.
 */
import type {InsertStmt, Node, OnConflictClause} from 'libpg-query';
import type {Table} from '../store/table.js';
import type {Row, SqlValue} from '../types.js';
import {sourceOfTable, type Compilation} from './compilation.js';
import {compileExpression} from './compile-expression.js';
import {
	asCondition, coerce, emptyRow, literal, type Evaluation, type Expression, type SessionFacts,
} from './expression.js';
import {lockKey} from './lock-rows.js';
import type {
	Execution, Plan, StatementResult, Steps,
} from './plan.js';
import {openTable} from './row-source.js';
import {planSelect} from './select.js';
import {SqlError} from './sql-error.js';
import {
	convertValue, formatTimestamp, sqlTypes, typeNamed,
} from './sql-types.js';
import {columnsOf, compileTargets, evaluateTargets} from './targets.js';
import type {Transaction} from './transaction.js';
import {checkRow, compileAssignments, type Assignment} from './assignments.js';

/** Computes the rows of one execution, each as the values of the target columns; undefined stands for DEFAULT. */
type RowsSource = (execution: Execution) => ReadonlyArray<ReadonlyArray<{readonly value: SqlValue} | undefined>>;

type Conflict = {
	readonly assignments: readonly Assignment[];
	readonly condition: Expression | undefined;
};

/** Plans an INSERT. */
export function planInsert(statement: InsertStmt, compilation: Compilation, transaction: Transaction): Plan {
	const table = openTable(statement.relation, transaction);
	const columns = targetColumns(table, statement.cols);
	const source = planRows(statement.selectStmt, {table, columns}, compilation, transaction);
	const name = statement.relation?.alias?.aliasname ?? table.definition.name;
	compilation.sources = [sourceOfTable(table, name), sourceOfTable(table, 'excluded', 'excluded')];
	const conflict = statement.onConflictClause ? planConflict(statement.onConflictClause, table, compilation) : undefined;
	const returning = compileTargets(statement.returningClause?.exprs, compilation);
	return {
		isWrite: true,
		columns: returning.length > 0 ? columnsOf(returning) : undefined,
		* run(execution): Steps<StatementResult> {
			const written: Row[] = [];
			for (const values of source(execution)) {
				const row = yield * insertRow(table, fillRow(table, columns, values, execution.facts), conflict, execution);
				if (row) {
					written.push(row);
				}
			}

			const rows = returning.length > 0 ? written.map(row => evaluateTargets(returning, {...execution, row})) : undefined;
			return {tag: `INSERT 0 ${written.length}`, rows};
		},
	};
}

function targetColumns(table: Table, nodes: readonly Node[] | undefined): number[] {
	if (!nodes) {
		return [...table.definition.columns.keys()];
	}

	return nodes.map(node => {
		const name = 'ResTarget' in node ? node.ResTarget.name ?? '' : '';
		const index = table.columnIndex(name);
		if (index === -1) {
			throw new SqlError('42703', `column "${name}" of relation "${table.definition.name}" does not exist`);
		}

		return index;
	});
}

function planRows(select: Node | undefined, {table, columns}: {readonly table: Table; readonly columns: readonly number[]}, compilation: Compilation, transaction: Transaction): RowsSource {
	if (!select || !('SelectStmt' in select)) {
		return () => [[]];
	}

	const types = columns.map(index => typeNamed(table.definition.columns[index].type));
	const lists = select.SelectStmt.valuesLists;
	if (!lists) {
		return planQueryRows(planSelect(select.SelectStmt, compilation, transaction), types);
	}

	const rows = lists.map(node => ('List' in node ? node.List.items ?? [] : []).map((item, index) => {
		if (index >= types.length) {
			throw new SqlError('42601', 'INSERT has more expressions than target columns');
		}

		return 'SetToDefault' in item ? undefined : coerce(compileExpression(item, compilation, types[index]), types[index]);
	}));
	return ({parameters, facts}) => {
		const evaluation: Evaluation = {row: emptyRow, parameters, facts};
		return rows.map(row => row.map(expression => expression && {value: expression.evaluate(evaluation)}));
	};
}

function planQueryRows(query: Plan, types: ReadonlyArray<ReturnType<typeof typeNamed>>): RowsSource {
	return execution => {
		const result = query.run(execution);
		if (!('tag' in result)) {
			throw new SqlError('0A000', 'INSERT from a query that sleeps or locks rows is not supported by the endpoint stand-in');
		}

		return (result.rows ?? []).map(row => row.map((value, index) => ({value: convertValue(value, query.columns?.[index].type ?? sqlTypes.text, types[index])})));
	};
}

function planConflict(clause: OnConflictClause, table: Table, compilation: Compilation): Conflict | undefined {
	checkConflictTarget(clause, table);
	if (clause.action === 'ONCONFLICT_NOTHING') {
		return {assignments: [], condition: undefined};
	}

	return {
		assignments: compileAssignments(clause.targetList, table, compilation),
		condition: clause.whereClause ? asCondition(compileExpression(clause.whereClause, compilation, sqlTypes.bool)) : literal(true, sqlTypes.bool),
	};
}

function checkConflictTarget(clause: OnConflictClause, table: Table): void {
	const named = (clause.infer?.indexElems ?? []).map(node => 'IndexElem' in node ? node.IndexElem.name ?? '' : '');
	const key = table.definition.keyColumns.map(index => table.definition.columns[index].name);
	const matchesKey = named.length === key.length && key.every(name => named.includes(name));
	if (clause.infer && !clause.infer.conname && !matchesKey) {
		throw new SqlError('42P10', 'there is no unique constraint matching the ON CONFLICT specification');
	}
}

function fillRow(table: Table, columns: readonly number[], values: ReadonlyArray<{readonly value: SqlValue} | undefined>, facts: SessionFacts): Row {
	const given = new Map(values.flatMap((value, index) => value ? [[columns[index], value.value] as const] : []));
	return table.definition.columns.map((_column, index) => given.has(index) ? given.get(index) : defaultValue(table, index, facts));
}

function defaultValue(table: Table, index: number, facts: SessionFacts): SqlValue {
	const column = table.definition.columns[index];
	if (column.default?.kind === 'serial') {
		return table.nextSequenceValue();
	}

	if (column.default?.kind === 'now') {
		return convertValue(formatTimestamp(facts.transactionTimeMs, true), sqlTypes.timestamptz, typeNamed(column.type));
	}

	return column.default?.value;
}

/** Inserts one row, or applies ON CONFLICT; returns the row that was written, or undefined if there was none. */
function * insertRow(table: Table, row: Row, conflict: Conflict | undefined, execution: Execution): Steps<Row | undefined> {
	checkRow(table, row);
	const key = table.keyOf(row);
	yield * lockKey(table, key, execution);
	const existing = execution.transaction.row(table, key);
	if (!existing) {
		execution.transaction.put(table, key, row);
		return row;
	}

	if (!conflict) {
		throw new SqlError('23505', `duplicate key value violates unique constraint "${table.definition.name}_pkey"`);
	}

	const evaluation: Evaluation = {...execution, row: existing, excluded: row};
	if (conflict.condition?.evaluate(evaluation) !== true) {
		return undefined;
	}

	const updated = existing.map((value, index) => {
		const assignment = conflict.assignments.find(candidate => candidate.index === index);
		return assignment ? assignment.expression.evaluate(evaluation) : value;
	});
	checkRow(table, updated);
	execution.transaction.put(table, key, updated);
	return updated;
}
