/**
 * Plans UPDATE and DELETE, with RETURNING.
 */
import type {DeleteStmt, UpdateStmt} from 'libpg-query';
import type {Table} from '../store/table.js';
import {encodeKey} from '../store/table.js';
import type {Row} from '../types.js';
import {planAccess} from './access-path.js';
import {checkRow, compileAssignments, type Assignment} from './assignments.js';
import {sourceOfTable, type Compilation} from './compilation.js';
import {lockKey, lockRows} from './lock-rows.js';
import type {
	Execution, Plan, StatementResult, Steps,
} from './plan.js';
import {openTable} from './row-source.js';
import {SqlError, notSupported} from './sql-error.js';
import {
	columnsOf, compileTargets, evaluateTargets, type Target,
} from './targets.js';
import type {Transaction} from './transaction.js';

/** Plans an UPDATE. */
export function planUpdate(statement: UpdateStmt, compilation: Compilation, transaction: Transaction): Plan {
	if (statement.fromClause ?? statement.withClause) {
		throw notSupported('UPDATE with FROM or WITH');
	}

	const table = openTable(statement.relation, transaction);
	compilation.sources = [sourceOfTable(table, statement.relation?.alias?.aliasname ?? table.definition.name)];
	const assignments = compileAssignments(statement.targetList, table, compilation);
	const access = planAccess(table, statement.whereClause, compilation);
	const returning = compileTargets(statement.returningClause?.exprs, compilation);
	return {
		isWrite: true,
		columns: returning.length > 0 ? columnsOf(returning) : undefined,
		* run(execution): Steps<StatementResult> {
			const written: Row[] = [];
			for (const [key, row] of yield * lockRows(table, access, execution)) {
				const updated = assign(row, assignments, execution);
				checkRow(table, updated);
				yield * writeRow(table, key, updated, execution);
				written.push(updated);
			}

			return changedRows('UPDATE', written, returning, execution);
		},
	};
}

/** Plans a DELETE. */
export function planDelete(statement: DeleteStmt, compilation: Compilation, transaction: Transaction): Plan {
	if (statement.usingClause ?? statement.withClause) {
		throw notSupported('DELETE with USING or WITH');
	}

	const table = openTable(statement.relation, transaction);
	compilation.sources = [sourceOfTable(table, statement.relation?.alias?.aliasname ?? table.definition.name)];
	const access = planAccess(table, statement.whereClause, compilation);
	const returning = compileTargets(statement.returningClause?.exprs, compilation);
	return {
		isWrite: true,
		columns: returning.length > 0 ? columnsOf(returning) : undefined,
		* run(execution): Steps<StatementResult> {
			const locked = yield * lockRows(table, access, execution);
			for (const [key] of locked) {
				execution.transaction.remove(table, key);
			}

			return changedRows('DELETE', locked.map(([, row]) => row), returning, execution);
		},
	};
}

function changedRows(command: string, rows: readonly Row[], returning: readonly Target[], execution: Execution): StatementResult {
	return {
		tag: `${command} ${rows.length}`,
		rows: returning.length > 0 ? rows.map(row => evaluateTargets(returning, {...execution, row})) : undefined,
	};
}

function assign(row: Row, assignments: readonly Assignment[], execution: Execution): Row {
	const evaluation = {...execution, row};
	const updated = [...row];
	for (const {index, expression} of assignments) {
		updated[index] = expression.evaluate(evaluation);
	}

	return updated;
}

/** Writes a row under its key. If the key has changed, the row is moved after locking the new key. */
function * writeRow(table: Table, key: string, row: Row, execution: Execution): Steps<void> {
	const {keyColumns} = table.definition;
	const newKey = keyColumns.length === 0 ? key : encodeKey(keyColumns.map(index => row[index]));
	if (newKey !== key) {
		yield * lockKey(table, newKey, execution);
		if (execution.transaction.row(table, newKey)) {
			throw new SqlError('23505', `duplicate key value violates unique constraint "${table.definition.name}_pkey"`);
		}

		execution.transaction.remove(table, key);
	}

	execution.transaction.put(table, newKey, row);
}
