/**
 * Plans the source of the rows of a SELECT: a table, generate_series, or one row without columns.
 */
import type {
	FuncCall, Node, RangeVar, SelectStmt,
} from 'libpg-query';
import type {Row} from '../types.js';
import type {Table} from '../store/table.js';
import {planAccess, type AccessPath} from './access-path.js';
import {sourceOfTable, type Compilation} from './compilation.js';
import {compileExpression, namesOf} from './compile-expression.js';
import {
	asCondition, coerce, emptyRow, type Evaluation,
} from './expression.js';
import {SqlError, notSupported} from './sql-error.js';
import {sqlTypes} from './sql-types.js';
import type {Transaction} from './transaction.js';

/** Source of the rows of a SELECT. */
export type RowSource = {
	readonly rows: (transaction: Transaction, evaluation: Omit<Evaluation, 'row'>) => readonly Row[];
	/** The table and the access to its rows, if the rows can be locked. */
	readonly lockable?: {readonly table: Table; readonly access: AccessPath};
};

/** Finds the table that a statement refers to; throws if it does not exist. */
export function openTable(relation: RangeVar | undefined, transaction: Transaction): Table {
	const schema = relation?.schemaname;
	if (schema !== undefined && schema !== 'public') {
		throw new SqlError('42P01', `relation "${schema}.${relation?.relname}" does not exist`);
	}

	return transaction.table(relation?.relname ?? '');
}

/** Plans the FROM and WHERE clauses of a SELECT. */
export function planSource(statement: SelectStmt, compilation: Compilation, transaction: Transaction): RowSource {
	const from = statement.fromClause ?? [];
	if (from.length > 1) {
		throw notSupported('a join');
	}

	const [source] = from as Array<Node | undefined>;
	if (!source) {
		return planSingleRow(statement.whereClause, compilation);
	}

	if ('RangeVar' in source) {
		return planTable(source.RangeVar, statement.whereClause, compilation, transaction);
	}

	if ('RangeFunction' in source) {
		const [call] = (source.RangeFunction.functions ?? []).flatMap(node => 'List' in node ? node.List.items ?? [] : []);
		if ('FuncCall' in call) {
			return planSeries(call.FuncCall, source.RangeFunction.alias?.aliasname, statement.whereClause, compilation);
		}
	}

	throw notSupported('this FROM clause');
}

function planSingleRow(where: Node | undefined, compilation: Compilation): RowSource {
	const condition = where ? asCondition(compileExpression(where, compilation, sqlTypes.bool)) : undefined;
	const singleRow = [emptyRow];
	return {
		rows: (_transaction, evaluation) => !condition || condition.evaluate({...evaluation, row: emptyRow}) === true ? singleRow : [],
	};
}

function planTable(relation: RangeVar, where: Node | undefined, compilation: Compilation, transaction: Transaction): RowSource {
	const table = openTable(relation, transaction);
	compilation.sources = [sourceOfTable(table, relation.alias?.aliasname ?? table.definition.name)];
	const access = planAccess(table, where, compilation);
	return {
		rows: (running, evaluation) => access.rows(running, evaluation).map(([, row]) => row),
		lockable: {table, access},
	};
}

function planSeries(call: FuncCall, alias: string | undefined, where: Node | undefined, compilation: Compilation): RowSource {
	const name = namesOf(call.funcname).at(-1) ?? '';
	if (name !== 'generate_series') {
		throw new SqlError('42883', `function ${name} does not exist or cannot be used in FROM`);
	}

	const parts = (call.args ?? []).map(argument => coerce(compileExpression(argument, compilation, sqlTypes.int4), sqlTypes.int4));
	const columnName = alias ?? name;
	compilation.sources = [{name: columnName, columns: [{name: columnName, type: sqlTypes.int4}], reads: 'row'}];
	const condition = where ? asCondition(compileExpression(where, compilation, sqlTypes.bool)) : undefined;
	return {
		rows(_transaction, evaluation) {
			const [from, to, step = 1] = parts.map(part => Number(part.evaluate({...evaluation, row: emptyRow}) ?? Number.NaN));
			const count = Math.max(0, Math.floor((to - from) / step) + 1);
			const rows = Array.from({length: count}, (_unused, index): Row => [from + (index * step)]);
			return condition ? rows.filter(row => condition.evaluate({...evaluation, row}) === true) : rows;
		},
	};
}
