/**
 * The tables of one instance. Only log entries change them, and every change can be undone.
 */
import type {Change, Row} from '../types.js';
import {Table} from './table.js';

/** Undoes one applied entry. */
export type Undo = () => void;

/** Tables by name, with a version for cached plans. */
export class Database {
	readonly tables = new Map<string, Table>();
	/** Incremented whenever a table is created or dropped; plans that were made for another version are stale. */
	private _catalogVersion = 0;

	get catalogVersion(): number {
		return this._catalogVersion;
	}

	/** Applies the changes of one entry in order, and returns a function that undoes them. */
	apply(changes: readonly Change[]): Undo {
		const undos = changes.map(change => this._applyOne(change));
		return () => {
			for (const undo of undos.toReversed()) {
				undo();
			}
		};
	}

	/** The whole content, as changes that recreate it in an empty database. */
	snapshot(): Change[] {
		const changes: Change[] = [];
		for (const [name, table] of this.tables) {
			changes.push({kind: 'createTable', definition: table.definition});
			for (const [key, row] of table.rows) {
				changes.push({
					kind: 'put', table: name, key, row,
				});
			}
		}

		return changes;
	}

	/** Drops all tables. */
	clear(): void {
		this.tables.clear();
		this._catalogVersion += 1;
	}

	private _applyOne(change: Change): Undo {
		switch (change.kind) {
			case 'put': {
				return this._undoOfRow(change.table, change.key, this._table(change.table).put(change.key, change.row));
			}

			case 'remove': {
				return this._undoOfRow(change.table, change.key, this._table(change.table).remove(change.key));
			}

			case 'createTable': {
				return this._replaceTable(change.definition.name, new Table(change.definition));
			}

			case 'dropTable': {
				return this._replaceTable(change.table, undefined);
			}
		}
	}

	private _undoOfRow(name: string, key: string, before: Row | undefined): Undo {
		return () => {
			const table = this._table(name);
			if (before) {
				table.put(key, before);
			} else {
				table.remove(key);
			}
		};
	}

	private _replaceTable(name: string, table: Table | undefined): Undo {
		const previous = this.tables.get(name);
		this._setTable(name, table);
		return () => {
			this._setTable(name, previous);
		};
	}

	private _setTable(name: string, table: Table | undefined): void {
		this._catalogVersion += 1;
		if (table) {
			this.tables.set(name, table);
		} else {
			this.tables.delete(name);
		}
	}

	private _table(name: string): Table {
		const table = this.tables.get(name);
		if (!table) {
			throw new Error(`a log entry changes a table that does not exist: ${name}`);
		}

		return table;
	}
}
