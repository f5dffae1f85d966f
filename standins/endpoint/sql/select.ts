/**
 * Plans SELECT and VALUES.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import type {Node, SelectStmt, SortBy} from 'libpg-query';
import type {Row, SqlValue} from '../types.js';
import {aggregate} from './aggregates.js';
import type {Compilation} from './compilation.js';
import {compileExpression, namesOf} from './compile-expression.js';
import {
	asCondition, coerce, compareValues, emptyRow, resolveUnknownType, type Evaluation, type Expression,
} from './expression.js';
import {lockRows} from './lock-rows.js';
import type {
	Execution, Plan, StatementResult, Steps,
} from './plan.js';
import {planSource, type RowSource} from './row-source.js';
import {SqlError, notSupported} from './sql-error.js';
import {sqlTypes} from './sql-types.js';
import {
	columnsOf, compileTargets, evaluateTargets, type Target,
} from './targets.js';
import type {Transaction} from './transaction.js';

type SortKey = {
	readonly expression: Expression;
	readonly sign: number;
	readonly areNullsFirst: boolean;
};

type SelectParts = {
	readonly source: RowSource;
	readonly targets: readonly Target[];
	readonly grouping: readonly Expression[];
	readonly having: Expression | undefined;
	readonly sortKeys: readonly SortKey[];
	readonly limit: Expression | undefined;
	readonly offset: Expression | undefined;
	readonly isDistinct: boolean;
	readonly isGrouped: boolean;
	readonly compilation: Compilation;
};

/** Plans a SELECT. */
export function planSelect(statement: SelectStmt, compilation: Compilation, transaction: Transaction): Plan {
	refuseUnsupported(statement);
	if (statement.valuesLists) {
		return planValues(statement.valuesLists, compilation);
	}

	const parts = planParts(statement, compilation, transaction);
	const isLocking = (statement.lockingClause ?? []).length > 0;
	const columns = columnsOf(parts.targets);
	if (isLocking) {
		return {isWrite: true, columns, run: execution => runWithLocks(parts, execution)};
	}

	const hasNoSleep = compilation.sleeps.length === 0;
	return {isWrite: false, columns, run: execution => hasNoSleep ? runWithoutWaiting(parts, execution) : runAfterSleeps(parts, execution)};
}

function refuseUnsupported(statement: SelectStmt): void {
	if (statement.op !== undefined && statement.op !== 'SETOP_NONE') {
		throw notSupported('UNION, INTERSECT or EXCEPT');
	}

	if (statement.withClause ?? statement.windowClause ?? statement.intoClause) {
		throw notSupported('WITH, WINDOW or INTO');
	}
}

function planParts(statement: SelectStmt, compilation: Compilation, transaction: Transaction): SelectParts {
	const source = planSource(statement, compilation, transaction);
	compilation.columnsOutsideAggregates.clear();
	const targets = compileTargets(statement.targetList, compilation);
	const having = statement.havingClause ? asCondition(compileExpression(statement.havingClause, compilation, sqlTypes.bool)) : undefined;
	const sortKeys = (statement.sortClause ?? []).flatMap(node => 'SortBy' in node ? [planSortKey(node.SortBy, targets, compilation)] : []);
	const outsideAggregates = new Set(compilation.columnsOutsideAggregates);
	const grouping = (statement.groupClause ?? []).map(node => referenceOrExpression(node, targets, compilation));
	const isGrouped = grouping.length > 0 || compilation.aggregates.length > 0;
	if (isGrouped) {
		checkGrouping(outsideAggregates, grouping);
	}

	return {
		source, targets, grouping, having, sortKeys, isGrouped, compilation,
		limit: planCount(statement.limitCount, compilation),
		offset: planCount(statement.limitOffset, compilation),
		isDistinct: (statement.distinctClause ?? []).length > 0,
	};
}

/** Throws if a column that is used outside aggregates is not in GROUP BY. If GROUP BY has other expressions than columns, nothing is checked. */
function checkGrouping(outsideAggregates: ReadonlySet<number>, grouping: readonly Expression[]): void {
	const grouped = new Set(grouping.map(expression => expression.columnIndex));
	const hasOnlyColumns = !grouped.has(undefined);
	if (hasOnlyColumns && [...outsideAggregates].some(index => !grouped.has(index))) {
		throw new SqlError('42803', 'a column must appear in the GROUP BY clause or be used in an aggregate function');
	}
}

function planCount(node: Node | undefined, compilation: Compilation): Expression | undefined {
	return node ? coerce(compileExpression(node, compilation, sqlTypes.int8), sqlTypes.int8) : undefined;
}

/** Compiles an item of ORDER BY or GROUP BY: the number or name of a result column, or an expression. */
function referenceOrExpression(node: Node, targets: readonly Target[], compilation: Compilation): Expression {
	if ('A_Const' in node) {
		const position = node.A_Const.ival?.ival ?? 0;
		const target = targets[position - 1] as Target | undefined;
		if (!target) {
			throw new SqlError('42P10', `position ${position} is not in select list`);
		}

		return target.expression;
	}

	const names = 'ColumnRef' in node ? namesOf(node.ColumnRef.fields) : [];
	const named = names.length === 1 ? targets.find(target => target.name === names[0]) : undefined;
	return named ? named.expression : resolveUnknownType(compileExpression(node, compilation));
}

function planSortKey(sort: SortBy, targets: readonly Target[], compilation: Compilation): SortKey {
	const isDescending = sort.sortby_dir === 'SORTBY_DESC';
	const areNullsFirst = sort.sortby_nulls === 'SORTBY_NULLS_DEFAULT' || sort.sortby_nulls === undefined ? isDescending : sort.sortby_nulls === 'SORTBY_NULLS_FIRST';
	const expression = referenceOrExpression(sort.node ?? {A_Const: {isnull: true}}, targets, compilation);
	return {expression, sign: isDescending ? -1 : 1, areNullsFirst};
}

function planValues(lists: readonly Node[], compilation: Compilation): Plan {
	const rows = lists.map(node => ('List' in node ? node.List.items ?? [] : []).map(item => resolveUnknownType(compileExpression(item, compilation))));
	const columns = rows[0].map((expression, index) => ({name: `column${index + 1}`, type: expression.type}));
	return {
		isWrite: false,
		columns,
		run({parameters, facts}) {
			const evaluation = {row: emptyRow, parameters, facts};
			return selectResult(rows.map(expressions => expressions.map(expression => expression.evaluate(evaluation))));
		},
	};
}

function selectResult(rows: readonly Row[]): StatementResult {
	return {tag: 'SELECT', rows};
}

function runWithoutWaiting(parts: SelectParts, execution: Execution): StatementResult {
	return selectResult(computeResult(parts, execution, parts.source.rows(execution.transaction, execution)));
}

function * runAfterSleeps(parts: SelectParts, execution: Execution): Steps<StatementResult> {
	for (const sleep of parts.compilation.sleeps) {
		const seconds = Number(sleep.evaluate({...execution, row: emptyRow}) ?? 0);
		yield execution.sleep(seconds * 1000);
	}

	return runWithoutWaiting(parts, execution);
}

/** Runs a SELECT ... FOR UPDATE. */
function * runWithLocks(parts: SelectParts, execution: Execution): Steps<StatementResult> {
	const {lockable} = parts.source;
	if (!lockable) {
		return runWithoutWaiting(parts, execution);
	}

	const locked = yield * lockRows(lockable.table, lockable.access, execution);
	return selectResult(computeResult(parts, execution, locked.map(([, row]) => row)));
}

/** Groups and sorts the rows, computes the result columns, and applies DISTINCT, OFFSET and LIMIT. */
function computeResult(parts: SelectParts, execution: Execution, rows: readonly Row[]): readonly Row[] {
	const {parameters, facts} = execution;
	let evaluations: Evaluation[] = rows.map(row => ({row, parameters, facts}));
	if (parts.isGrouped) {
		evaluations = group(parts, evaluations, {row: emptyRow, parameters, facts});
	}

	if (parts.sortKeys.length > 0) {
		evaluations = sort(parts.sortKeys, evaluations);
	}

	let results = evaluations.map(evaluation => evaluateTargets(parts.targets, evaluation));
	if (parts.isDistinct) {
		results = [...new Map(results.map(row => [JSON.stringify(row), row])).values()];
	}

	return applyLimit(parts, {row: emptyRow, parameters, facts}, results);
}

function group(parts: SelectParts, evaluations: readonly Evaluation[], emptyGroup: Evaluation): Evaluation[] {
	const groups = new Map<string, Evaluation[]>();
	if (parts.grouping.length === 0) {
		groups.set('', [...evaluations]);
	} else {
		for (const evaluation of evaluations) {
			const key = JSON.stringify(parts.grouping.map(expression => expression.evaluate(evaluation)));
			const members = groups.get(key);
			if (members) {
				members.push(evaluation);
			} else {
				groups.set(key, [evaluation]);
			}
		}
	}

	const grouped = [...groups.values()].map(members => ({...(members.at(0) ?? emptyGroup), aggregates: aggregate(parts.compilation.aggregates, members)}));
	return parts.having ? grouped.filter(evaluation => parts.having?.evaluate(evaluation) === true) : grouped;
}

function sort(sortKeys: readonly SortKey[], evaluations: readonly Evaluation[]): Evaluation[] {
	const keyed = evaluations.map(evaluation => ({evaluation, keys: sortKeys.map(({expression}) => expression.evaluate(evaluation))}));
	keyed.sort((a, b) => {
		for (const [index, sortKey] of sortKeys.entries()) {
			const order = compareSorted(a.keys[index], b.keys[index], sortKey);
			if (order !== 0) {
				return order;
			}
		}

		return 0;
	});
	return keyed.map(({evaluation}) => evaluation);
}

function compareSorted(a: SqlValue, b: SqlValue, {sign, areNullsFirst}: SortKey): number {
	if (a === undefined || b === undefined) {
		return a === b ? 0 : ((a === undefined) === areNullsFirst ? -1 : 1);
	}

	return compareValues(a, b) * sign;
}

function applyLimit(parts: SelectParts, evaluation: Evaluation, rows: Row[]): Row[] {
	if (!parts.limit && !parts.offset) {
		return rows;
	}

	const offset = Number(parts.offset?.evaluate(evaluation) ?? 0);
	const limit = Number(parts.limit?.evaluate(evaluation) ?? Number.POSITIVE_INFINITY);
	return rows.slice(offset, offset + limit);
}
