/**
 * Compiles SET lists, and checks rows before they are written.
 */
import type {Node} from 'libpg-query';
import type {Table} from '../store/table.js';
import type {Row} from '../types.js';
import type {Compilation} from './compilation.js';
import {compileExpression} from './compile-expression.js';
import {coerce, literal, type Expression} from './expression.js';
import {SqlError, notSupported} from './sql-error.js';
import {typeNamed} from './sql-types.js';

/** One `column = expression` of a SET list. */
export type Assignment = {
	readonly index: number;
	readonly expression: Expression;
};

/** Compiles a SET list. */
export function compileAssignments(nodes: readonly Node[] | undefined, table: Table, compilation: Compilation): Assignment[] {
	return (nodes ?? []).map(node => {
		const target = 'ResTarget' in node ? node.ResTarget : {};
		const index = table.columnIndex(target.name ?? '');
		if (index === -1) {
			throw new SqlError('42703', `column "${target.name}" of relation "${table.definition.name}" does not exist`);
		}

		return {index, expression: compileValue(target.val, table, index, compilation)};
	});
}

function compileValue(node: Node | undefined, table: Table, index: number, compilation: Compilation): Expression {
	const column = table.definition.columns[index];
	const type = typeNamed(column.type);
	if (!node || !('SetToDefault' in node)) {
		return coerce(compileExpression(node, compilation, type), type);
	}

	if (column.default && column.default.kind !== 'literal') {
		throw notSupported('SET of a computed DEFAULT');
	}

	return literal(column.default?.value, type);
}

/** Throws if a column that must not be NULL has no value. */
export function checkRow(table: Table, row: Row): void {
	for (const [index, column] of table.definition.columns.entries()) {
		if (column.isRequired && row[index] === undefined) {
			throw new SqlError('23502', `null value in column "${column.name}" of relation "${table.definition.name}" violates not-null constraint`);
		}
	}
}
