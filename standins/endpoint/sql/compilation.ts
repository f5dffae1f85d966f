/**
 * State of the compilation of one statement: its sources of columns, parameters, aggregates and sleeps.
 */
import type {Table} from '../store/table.js';
import type {Aggregate} from './aggregates.js';
import type {Expression} from './expression.js';
import {SqlError} from './sql-error.js';
import {sqlTypes, typeNamed, type SqlType} from './sql-types.js';

/** A source of columns in one statement. */
export type ColumnSource = {
	/** Name that qualifies its columns. */
	readonly name: string;
	readonly columns: ReadonlyArray<{readonly name: string; readonly type: SqlType}>;
	readonly reads: 'row' | 'excluded';
};

/** Creates a source from the columns of a table. */
export function sourceOfTable(table: Table, name: string, reads: ColumnSource['reads'] = 'row'): ColumnSource {
	const columns = table.definition.columns.map(column => ({name: column.name, type: typeNamed(column.type)}));
	return {name, columns, reads};
}

/** State of the compilation of one statement. */
export class Compilation {
	readonly aggregates: Aggregate[] = [];
	/** Arguments of pg_sleep, in seconds. */
	readonly sleeps: Expression[] = [];
	/** Types of the parameters; undefined while a type is not known. */
	readonly parameterTypes: Array<SqlType | undefined>;
	sources: readonly ColumnSource[] = [];
	/** Whether the arguments of an aggregate are being compiled. */
	isInsideAggregate = false;
	/** Indices of the columns that are used outside aggregates; a grouped query must group by them. */
	readonly columnsOutsideAggregates = new Set<number>();

	constructor(declaredTypes: ReadonlyArray<SqlType | undefined>) {
		this.parameterTypes = [...declaredTypes];
	}

	/** Compiles a parameter. If its type is not known yet, the context decides it: the expected type, or text. */
	parameter(number: number, expected: SqlType | undefined): Expression {
		const index = number - 1;
		while (this.parameterTypes.length <= index) {
			this.parameterTypes.push(undefined);
		}

		const type = this.parameterTypes[index] ?? (expected === sqlTypes.unknown ? undefined : expected) ?? sqlTypes.text;
		this.parameterTypes[index] = type;
		return {type, readsRow: false, evaluate: evaluation => evaluation.parameters[index]};
	}

	/** Types of all parameters; those that are still unknown are text. */
	resolvedParameterTypes(): SqlType[] {
		return Array.from(this.parameterTypes, type => type ?? sqlTypes.text);
	}

	/** Compiles a reference to a column; throws if there is none of that name. */
	column(qualifier: string | undefined, name: string): Expression {
		const found = this.sources
			.filter(source => qualifier === undefined ? source.reads === 'row' : source.name === qualifier)
			.map(source => ({source, index: source.columns.findIndex(column => column.name === name)}))
			.find(({index}) => index !== -1);
		if (!found) {
			throw this._unknownColumn(qualifier, name);
		}

		return this._columnAt(found.source, found.index);
	}

	/** All columns of the row, or those of the source that the qualifier names. */
	star(qualifier: string | undefined): Array<{readonly name: string; readonly expression: Expression}> {
		const sources = this.sources.filter(source => qualifier === undefined ? source.reads === 'row' : source.name === qualifier);
		return sources.flatMap(source => source.columns.map((column, index) => ({name: column.name, expression: this._columnAt(source, index)})));
	}

	private _columnAt(source: ColumnSource, index: number): Expression {
		const {type} = source.columns[index];
		if (source.reads === 'excluded') {
			return {type, readsRow: true, evaluate: evaluation => evaluation.excluded?.[index]};
		}

		if (!this.isInsideAggregate) {
			this.columnsOutsideAggregates.add(index);
		}

		return {
			type, readsRow: true, columnIndex: index, evaluate: evaluation => evaluation.row[index],
		};
	}

	private _unknownColumn(qualifier: string | undefined, name: string): SqlError {
		if (qualifier !== undefined && !this.sources.some(source => source.name === qualifier)) {
			return new SqlError('42P01', `missing FROM-clause entry for table "${qualifier}"`);
		}

		return new SqlError('42703', `column "${name}" does not exist`);
	}
}
