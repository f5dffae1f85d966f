/**
 * Parses and plans statements; parsed statements and their plans are cached by the text of the statement.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import {
	hasSqlDetails, loadModule, parseSync, type Node,
} from 'libpg-query';
import {Compilation} from './compilation.js';
import {unwrapNode} from './compile-expression.js';
import {planCreateTable, planDropTable} from './definitions.js';
import {planInsert} from './insert.js';
import {parameteriseLiterals} from './query-parameterisation.js';
import type {Plan} from './plan.js';
import {planSelect} from './select.js';
import {SqlError, notSupported} from './sql-error.js';
import type {SqlType} from './sql-types.js';
import type {Transaction} from './transaction.js';
import {planDelete, planUpdate} from './update-delete.js';

/** A plan with the types of its parameters. */
export type PlannedStatement = {
	readonly plan: Plan;
	readonly parameterTypes: readonly SqlType[];
};

/** One parsed statement, and its cached plan for one catalog version. */
export type ParsedStatement = {
	readonly kind: string;
	readonly node: Node;
	readonly body: unknown;
	cachedPlan: {readonly planned: PlannedStatement; readonly catalogVersion: number; readonly declared: string} | undefined;
};

type Planner = (body: never, compilation: Compilation, transaction: Transaction) => Plan;

const planners: Readonly<Record<string, Planner>> = {
	SelectStmt: planSelect,
	InsertStmt: planInsert,
	UpdateStmt: planUpdate,
	DeleteStmt: planDelete,
	CreateStmt: planCreateTable,
	DropStmt: planDropTable,
};

/** A simple query, ready to be planned. */
export type SimpleQuery = {
	readonly statements: readonly ParsedStatement[];
	readonly declaredTypes: ReadonlyArray<SqlType | undefined>;
	/** Text of each literal that was replaced by a parameter. */
	readonly literalTexts: readonly string[];
};

/** Loads the SQL parser; must have resolved before the first statement is parsed. */
export async function loadParser(): Promise<void> {
	await loadModule();
}

/** Whether a statement works on data or tables, rather than on the session. */
export function isDataStatement(statement: ParsedStatement): boolean {
	return Object.hasOwn(planners, statement.kind);
}

/** Cache of parsed statements by text; cleared as a whole when it is full. */
export class StatementCache {
	private _statements = new Map<string, readonly ParsedStatement[]>();
	private readonly _limit: number;

	constructor(limit: number) {
		this._limit = limit;
	}

	/** Parses the statements in a text; throws a SqlError with a syntax error. */
	parse(text: string): readonly ParsedStatement[] {
		const cached = this._statements.get(text);
		if (cached) {
			return cached;
		}

		const parsed = parseText(text);
		if (this._statements.size >= this._limit) {
			this._statements = new Map();
		}

		this._statements.set(text, parsed);
		return parsed;
	}

	/** Parses a simple query, with its literals replaced by parameters if that is safe. */
	parseSimple(text: string): SimpleQuery {
		const parameterised = parameteriseLiterals(text);
		if (parameterised) {
			try {
				const statements = this.parse(parameterised.shape);
				return {statements, declaredTypes: parameterised.declaredTypes, literalTexts: parameterised.literalTexts};
			} catch {
				// Falls through to parse the original text, so that the error refers to it.
			}
		}

		return this.parseVerbatim(text);
	}

	/** Parses a simple query with its literals unchanged. */
	parseVerbatim(text: string): SimpleQuery {
		return {statements: this.parse(text), declaredTypes: [], literalTexts: []};
	}
}

function parseText(text: string): ParsedStatement[] {
	try {
		const {stmts = []} = parseSync(text);
		return stmts.map(({stmt}) => {
			const [kind, body] = unwrapNode(stmt!);
			return {
				kind, node: stmt!, body, cachedPlan: undefined,
			};
		});
	} catch (error) {
		const message = hasSqlDetails(error) ? error.sqlDetails?.message : undefined;
		// The parser rejects an empty text, which the protocol allows.
		if (text.trim() === '') {
			return [];
		}

		throw new SqlError('42601', message ?? String(error));
	}
}

/** Plans a statement for the tables that a transaction sees, or returns the cached plan. */
export function planStatement(statement: ParsedStatement, declaredTypes: ReadonlyArray<SqlType | undefined>, transaction: Transaction, catalogVersion: number): PlannedStatement {
	const declared = declaredTypes.length === 0 ? '' : declaredTypes.map(type => type?.name ?? '').join(',');
	const cached = statement.cachedPlan;
	if (cached?.catalogVersion === catalogVersion && cached.declared === declared && !transaction.hasCatalogChanges) {
		return cached.planned;
	}

	const planner = planners[statement.kind] as Planner | undefined;
	if (!planner) {
		throw notSupported(`a statement of kind ${statement.kind}`);
	}

	const compilation = new Compilation(declaredTypes);
	const plan = planner(statement.body as never, compilation, transaction); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the kind decides the content's type.
	const planned: PlannedStatement = {plan, parameterTypes: compilation.resolvedParameterTypes()};
	if (!transaction.hasCatalogChanges) {
		statement.cachedPlan = {planned, catalogVersion, declared};
	}

	return planned;
}
