/**
 * One table in memory. Rows are found by primary key in constant time.
 */
import type {Row, SqlValue, TableDefinition} from '../types.js';

/** Name under which a row without a primary key is kept, in front of its number. */
const hiddenKeyPrefix = '#';

/** Rows by key. Only the log changes it. */
export class Table {
	readonly definition: TableDefinition;
	readonly rows = new Map<string, Row>();
	/** Next number of a serial column or of a hidden key; shared by all serials of the table. */
	private _nextSequenceValue = 1;
	private readonly _serialColumns: readonly number[];

	constructor(definition: TableDefinition) {
		this.definition = definition;
		this._serialColumns = definition.columns.flatMap((column, index) => column.default?.kind === 'serial' ? [index] : []);
	}

	/** Index of a column; -1 when there is none. */
	columnIndex(name: string): number {
		return this.definition.columns.findIndex(column => column.name === name);
	}

	/** Takes the next number; numbers of rolled back transactions are lost, as in any sequence. */
	nextSequenceValue(): number {
		const number = this._nextSequenceValue;
		this._nextSequenceValue += 1;
		return number;
	}

	/** Key of a row; a row without primary key gets a hidden number. */
	keyOf(row: Row): string {
		const {keyColumns} = this.definition;
		return keyColumns.length === 0 ? hiddenKeyPrefix + this.nextSequenceValue() : encodeKey(keyColumns.map(index => row[index]));
	}

	/** Puts a row and returns the one that was there. */
	put(key: string, row: Row): Row | undefined {
		const before = this.rows.get(key);
		this.rows.set(key, row);
		this._advanceSequence(key, row);
		return before;
	}

	/** Removes a row and returns it. */
	remove(key: string): Row | undefined {
		const before = this.rows.get(key);
		this.rows.delete(key);
		return before;
	}

	/** Keeps the counter ahead of every number in the table, so that a new primary goes on from there. */
	private _advanceSequence(key: string, row: Row): void {
		if (this.definition.keyColumns.length === 0) {
			this._nextSequenceValue = Math.max(this._nextSequenceValue, Number(key.slice(hiddenKeyPrefix.length)) + 1);
		}

		for (const index of this._serialColumns) {
			this._nextSequenceValue = Math.max(this._nextSequenceValue, Number(row[index] ?? 0) + 1);
		}
	}
}

/** Text of a primary key's values. */
export function encodeKey(values: readonly SqlValue[]): string {
	return values.length === 1 ? String(values[0]) : JSON.stringify(values);
}
