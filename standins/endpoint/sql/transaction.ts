/**
 * One transaction: its own writes over the tables, and its locks.
 */
import type {
	Change, Row, SqlValue, TableDefinition,
} from '../types.js';
import {Table, encodeKey} from '../store/table.js';
import type {Database} from '../store/database.js';
import type {LockOwner} from './lock-table.js';
import {SqlError} from './sql-error.js';

/** Writes of one transaction to one table; undefined stands for a removed row. */
type TableWrites = Map<string, Row | undefined>;

/** Reads see the tables with the transaction's own writes over them. */
export class Transaction implements LockOwner {
	readonly locks = new Set<string>();
	awaitedLock: string | undefined;
	isReadOnly: boolean;
	/** Set when the instance ended it from outside. */
	terminationError: SqlError | undefined;
	private readonly _database: Database;
	private readonly _writes = new Map<Table, TableWrites>();
	private readonly _catalogChanges: Change[] = [];
	private readonly _tables = new Map<string, Table | undefined>();

	constructor(database: Database, isReadOnly: boolean) {
		this._database = database;
		this.isReadOnly = isReadOnly;
	}

	/** Whether it changed anything. */
	get hasWrites(): boolean {
		return this._writes.size > 0 || this._catalogChanges.length > 0;
	}

	/** Whether it changed which tables there are, so that shared plans don't fit. */
	get hasCatalogChanges(): boolean {
		return this._tables.size > 0;
	}

	/** A table as this transaction sees it. */
	findTable(name: string): Table | undefined {
		return this._tables.has(name) ? this._tables.get(name) : this._database.tables.get(name);
	}

	/** A table that must be there. */
	table(name: string): Table {
		const table = this.findTable(name);
		if (!table) {
			throw new SqlError('42P01', `relation "${name}" does not exist`);
		}

		return table;
	}

	/** One row by key. */
	row(table: Table, key: string): Row | undefined {
		const writes = this._writes.get(table);
		return writes?.has(key) ? writes.get(key) : table.rows.get(key);
	}

	/** One row by the values of its primary key. */
	rowByKey(table: Table, values: readonly SqlValue[]): Row | undefined {
		return this.row(table, encodeKey(values));
	}

	/** All rows with their keys. */
	* rows(table: Table): Generator<readonly [string, Row]> {
		const writes = this._writes.get(table);
		for (const [key, row] of table.rows) {
			const own = writes?.has(key) ? writes.get(key) : row;
			if (own) {
				yield [key, own];
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

	/** The physical changes for the log, in an order that can be replayed. */
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

	/** Whether every table that it wrote to is still there. */
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
