/**
 * Plans CREATE TABLE and DROP TABLE.
 */
import type {
	ColumnDef, Constraint, CreateStmt, DropStmt, Node,
} from 'libpg-query';
import type {ColumnDefault, ColumnDefinition, TableDefinition} from '../types.js';
import {Compilation} from './compilation.js';
import {compileExpression, namesOf, typeOf} from './compile-expression.js';
import {coerce} from './expression.js';
import type {
	Execution, Plan, StatementResult, Steps,
} from './plan.js';
import {SqlError, notSupported} from './sql-error.js';
import {serialTypes, type SqlType} from './sql-types.js';

/** Plans a CREATE TABLE. */
export function planCreateTable(statement: CreateStmt): Plan {
	const definition = defineTable(statement);
	return {
		isWrite: true,
		* run(execution): Steps<StatementResult> {
			const {transaction} = execution;
			yield * lockTableName(definition.name, execution);
			if (!transaction.findTable(definition.name)) {
				transaction.createTable(definition);
			} else if (!statement.if_not_exists) {
				throw new SqlError('42P07', `relation "${definition.name}" already exists`);
			}

			return {tag: 'CREATE TABLE'};
		},
	};
}

/** Plans a DROP TABLE. */
export function planDropTable(statement: DropStmt): Plan {
	if (statement.removeType !== 'OBJECT_TABLE') {
		throw notSupported('DROP of anything but tables');
	}

	const names = (statement.objects ?? []).map(node => namesOf('List' in node ? node.List.items : []).at(-1) ?? '');
	return {
		isWrite: true,
		* run(execution): Steps<StatementResult> {
			const {transaction} = execution;
			for (const name of names) {
				yield * lockTableName(name, execution);
				if (transaction.findTable(name) ?? !statement.missing_ok) {
					transaction.dropTable(name);
				}
			}

			return {tag: 'DROP TABLE'};
		},
	};
}

/** Locks the name of a table, so that no two transactions create or drop it concurrently. */
function * lockTableName(name: string, {locks, transaction}: Execution): Steps<void> {
	const wait = locks.acquire(transaction, '', name);
	if (wait) {
		yield wait;
	}
}

function defineTable(statement: CreateStmt): TableDefinition {
	const elements = statement.tableElts ?? [];
	const definitions = elements.flatMap(node => 'ColumnDef' in node ? [node.ColumnDef] : []);
	const tableConstraints = constraintsIn(elements);
	const keyNames = definitions
		.filter(column => constraintsIn(column.constraints).some(constraint => constraint.contype === 'CONSTR_PRIMARY'))
		.map(column => column.colname ?? '');
	for (const constraint of tableConstraints) {
		if (constraint.contype !== 'CONSTR_PRIMARY') {
			throw notSupported(`the table constraint ${constraint.contype}`);
		}

		keyNames.push(...namesOf(constraint.keys));
	}

	const columns = definitions.map(column => defineColumn(column, keyNames.includes(column.colname ?? '')));
	const keyColumns = keyNames.map(name => columns.findIndex(column => column.name === name));
	if (keyColumns.includes(-1)) {
		throw new SqlError('42703', 'a column of the primary key does not exist');
	}

	return {name: statement.relation?.relname ?? '', columns, keyColumns};
}

function constraintsIn(nodes: readonly Node[] | undefined): Constraint[] {
	return (nodes ?? []).flatMap(node => 'Constraint' in node ? [node.Constraint] : []);
}

const knownConstraints = new Set(['CONSTR_PRIMARY', 'CONSTR_NOTNULL', 'CONSTR_NULL', 'CONSTR_DEFAULT', 'CONSTR_IDENTITY']);

function defineColumn(column: ColumnDef, isKey: boolean): ColumnDefinition {
	const constraints = constraintsIn(column.constraints);
	const unknown = constraints.find(constraint => !knownConstraints.has(constraint.contype ?? ''));
	if (unknown) {
		throw notSupported(`the column constraint ${unknown.contype}`);
	}

	const serial = serialTypes.get(namesOf(column.typeName?.names).at(-1) ?? '');
	const type = serial ?? typeOf(column.typeName);
	const isSerial = serial !== undefined || constraints.some(constraint => constraint.contype === 'CONSTR_IDENTITY');
	const isRequired = isKey || isSerial || constraints.some(constraint => constraint.contype === 'CONSTR_NOTNULL');
	const given = constraints.find(constraint => constraint.contype === 'CONSTR_DEFAULT');
	return {
		name: column.colname ?? '', type: type.name, isRequired, default: isSerial ? {kind: 'serial'} : given && defineDefault(given.raw_expr, type),
	};
}

const nowFunctions = new Set(['now', 'transaction_timestamp', 'statement_timestamp', 'clock_timestamp']);

function defineDefault(node: Node | undefined, type: SqlType): ColumnDefault {
	const isNow = node && (('FuncCall' in node && nowFunctions.has(namesOf(node.FuncCall.funcname).at(-1) ?? '')) || 'SQLValueFunction' in node);
	if (isNow) {
		return {kind: 'now'};
	}

	const expression = coerce(compileExpression(node, new Compilation([]), type), type);
	if (!expression.literal) {
		throw notSupported('a DEFAULT that is neither a literal nor the time');
	}

	return {kind: 'literal', value: expression.literal.value};
}
