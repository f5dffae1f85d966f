/**
 * One transaction: its uncommitted writes, which overlay the tables, and its locks.
 */
import type {
	Change, Row, SqlValue, TableDefinition,
} from '../types.js';
import {Table, encodeKey} from '../store/table.js';
import type {Database} from '../store/database.js';
import type {LockOwner} from './lock-table.js';
import {SqlError} from './sql-error.js';

/** Writes of one transaction to one table by key; undefined stands for a removed row. */
type TableWrites = Map<string, Row | undefined>;

/** Reads see the tables overlaid with the transaction's own writes. */
export class Transaction implements LockOwner {
	readonly locks = new Set<string>();
	awaitedLock: string | undefined;
	isReadOnly: boolean;
	/** Set when the transaction was terminated from outside its statements. */
	terminationError: SqlError | undefined;
	private readonly _database: Database;
	private readonly _writes = new Map<Table, TableWrites>();
	private readonly _catalogChanges: Change[] = [];
	private readonly _tables = new Map<string, Table | undefined>();

	constructor(database: Database, isReadOnly: boolean) {
		this._database = database;
		this.isReadOnly = isReadOnly;
	}

	/** Whether the transaction has changes. */
	get hasWrites(): boolean {
		return this._writes.size > 0 || this._catalogChanges.length > 0;
	}

	/** Whether the transaction created or dropped tables, so that shared plans must not be used. */
	get hasCatalogChanges(): boolean {
		return this._tables.size > 0;
	}

	/** Finds a table as this transaction sees it; undefined if it does not exist. */
	findTable(name: string): Table | undefined {
		return this._tables.has(name) ? this._tables.get(name) : this._database.tables.get(name);
	}

	/** Finds a table as this transaction sees it; throws if it does not exist. */
	table(name: string): Table {
		const table = this.findTable(name);
		if (!table) {
			throw new SqlError('42P01', `relation "${name}" does not exist`);
		}

		return table;
	}

	/** Finds a row by its key; undefined if it does not exist. */
	row(table: Table, key: string): Row | undefined {
		const writes = this._writes.get(table);
		return writes?.has(key) ? writes.get(key) : table.rows.get(key);
	}

	/** Finds a row by the values of its primary key; undefined if it does not exist. */
	rowByKey(table: Table, values: readonly SqlValue[]): Row | undefined {
		return this.row(table, encodeKey(values));
	}

	/** Iterates over all rows with their keys. */
	* rows(table: Table): Generator<readonly [string, Row]> {
		const writes = this._writes.get(table);
		for (const [key, row] of table.rows) {
			const visibleRow = writes?.has(key) ? writes.get(key) : row;
			if (visibleRow) {
				yield [key, visibleRow];
			}
		}

		for (const [key, row] of writes ?? []) {
			if (row && !table.rows.has(key)) {
				yield [key, row];
			}
		}
	}

	put(table: Table, key: string, row: Row): void {
		this._writesOf(table).set(key, row);
	}

	remove(table: Table, key: string): void {
		this._writesOf(table).set(key, undefined);
	}

	createTable(definition: TableDefinition): void {
		this._tables.set(definition.name, new Table(definition));
		this._catalogChanges.push({kind: 'createTable', definition});
	}

	dropTable(name: string): void {
		const table = this.table(name);
		this._writes.delete(table);
		this._tables.set(name, undefined);
		this._catalogChanges.push({kind: 'dropTable', table: name});
	}

	/** The changes for the log, in an order in which they can be replayed. */
	changes(): Change[] {
		const changes = [...this._catalogChanges];
		for (const [table, writes] of this._writes) {
			for (const [key, row] of writes) {
				const {name} = table.definition;
				changes.push(row
					? {
						kind: 'put', table: name, key, row,
					}
					: {kind: 'remove', table: name, key});
			}
		}

		return changes;
	}

	/** Whether every table that the transaction wrote to still exists and was not replaced. */
	matchesCatalog(): boolean {
		return [...this._writes.keys()].every(table => this.findTable(table.definition.name) === table);
	}

	private _writesOf(table: Table): TableWrites {
		let writes = this._writes.get(table);
		if (!writes) {
			writes = new Map();
			this._writes.set(table, writes);
		}

		return writes;
	}
}
