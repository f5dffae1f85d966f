/**
 * One table in memory. Rows are looked up by primary key in constant time.
 */
import type {Row, SqlValue, TableDefinition} from '../types.js';

/** Prefix of the key of a row without a primary key; the hidden number of the row follows. */
const hiddenKeyPrefix = '#';

/** Rows by key. Only log entries change them. */
export class Table {
	readonly definition: TableDefinition;
	readonly rows = new Map<string, Row>();
	/** Next number for a serial column or a hidden key; all of them share one sequence. */
	private _nextSequenceValue = 1;
	private readonly _serialColumns: readonly number[];

	constructor(definition: TableDefinition) {
		this.definition = definition;
		this._serialColumns = definition.columns.flatMap((column, index) => column.default?.kind === 'serial' ? [index] : []);
	}

	/** Index of a column; -1 if there is none of that name. */
	columnIndex(name: string): number {
		return this.definition.columns.findIndex(column => column.name === name);
	}

	/** Returns the next number. Numbers of transactions that are rolled back are not used again, as in any sequence. */
	nextSequenceValue(): number {
		const number = this._nextSequenceValue;
		this._nextSequenceValue += 1;
		return number;
	}

	/** Key of a row; if the table has no primary key, a new hidden number. */
	keyOf(row: Row): string {
		const {keyColumns} = this.definition;
		return keyColumns.length === 0 ? hiddenKeyPrefix + this.nextSequenceValue() : encodeKey(keyColumns.map(index => row[index]));
	}

	/** Stores a row and returns the one that it replaces. */
	put(key: string, row: Row): Row | undefined {
		const previous = this.rows.get(key);
		this.rows.set(key, row);
		this._advanceSequence(key, row);
		return previous;
	}

	/** Removes a row and returns it. */
	remove(key: string): Row | undefined {
		const previous = this.rows.get(key);
		this.rows.delete(key);
		return previous;
	}

	/** Keeps the sequence ahead of every number in the table, so that a new primary continues after them. */
	private _advanceSequence(key: string, row: Row): void {
		if (this.definition.keyColumns.length === 0) {
			this._nextSequenceValue = Math.max(this._nextSequenceValue, Number(key.slice(hiddenKeyPrefix.length)) + 1);
		}

		for (const index of this._serialColumns) {
			this._nextSequenceValue = Math.max(this._nextSequenceValue, Number(row[index] ?? 0) + 1);
		}
	}
}

/** Encodes the values of a primary key as text. */
export function encodeKey(values: readonly SqlValue[]): string {
	return values.length === 1 ? String(values[0]) : JSON.stringify(values);
}
