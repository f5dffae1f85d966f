/**
 * Locks the rows that a statement changes. The condition is checked again on each row once it is locked.
 */
import type {Table} from '../store/table.js';
import type {AccessPath, KeyedRow} from './access-path.js';
import type {Execution, Steps} from './plan.js';

/** Locks a key for the transaction, after waiting if another one holds it. */
export function * lockKey(table: Table, key: string, execution: Execution): Steps<void> {
	const wait = execution.locks.acquire(execution.transaction, table.definition.name, key);
	if (wait) {
		yield wait;
	}
}

/** Locks every row for which the condition holds, and returns those for which it still holds under the lock. */
export function * lockRows(table: Table, access: AccessPath, execution: Execution): Steps<KeyedRow[]> {
	const locked: KeyedRow[] = [];
	for (const [key] of access.rows(execution.transaction, execution)) {
		yield * lockKey(table, key, execution);
		const row = execution.transaction.row(table, key);
		if (row && access.matches(row, execution)) {
			locked.push([key, row]);
		}
	}

	return locked;
}
