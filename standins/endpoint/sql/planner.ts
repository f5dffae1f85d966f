/**
 * Parses statements and makes plans of them; both are kept by the statement's text.
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

/** One parsed statement, and its plan for the tables of one version. */
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
	/** Text of each parameter that stands for a literal. */
	readonly literalTexts: readonly string[];
};

/** Must have resolved before the first statement is parsed. */
export async function loadParser(): Promise<void> {
	await loadModule();
}

/** Whether a statement works on data, rather than on the session. */
export function isDataStatement(statement: ParsedStatement): boolean {
	return Object.hasOwn(planners, statement.kind);
}

/** Parsed statements by text. */
export class StatementCache {
	private _statements = new Map<string, readonly ParsedStatement[]>();
	private readonly _limit: number;

	constructor(limit: number) {
		this._limit = limit;
	}

	/** The statements in a text. */
	parse(text: string): readonly ParsedStatement[] {
		const known = this._statements.get(text);
		if (known) {
			return known;
		}

		const parsed = parseText(text);
		if (this._statements.size >= this._limit) {
			this._statements = new Map();
		}

		this._statements.set(text, parsed);
		return parsed;
	}

	/** The statements of a simple query, with its literals as parameters where that is safe. */
	parseSimple(text: string): SimpleQuery {
		const parameterised = parameteriseLiterals(text);
		if (parameterised) {
			try {
				const statements = this.parse(parameterised.shape);
				return {statements, declaredTypes: parameterised.declaredTypes, literalTexts: parameterised.literalTexts};
			} catch {
				// The text itself gives the error that belongs to it.
			}
		}

		return this.parseVerbatim(text);
	}

	/** The statements of a simple query as they are written. */
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
		// The parser refuses an empty text, which is no error on the wire.
		if (text.trim() === '') {
			return [];
		}

		throw new SqlError('42601', message ?? String(error));
	}
}

/** The plan of a statement for the tables that a transaction sees. */
export function planStatement(statement: ParsedStatement, declaredTypes: ReadonlyArray<SqlType | undefined>, transaction: Transaction, catalogVersion: number): PlannedStatement {
	const declared = declaredTypes.length === 0 ? '' : declaredTypes.map(type => type?.name ?? '').join(',');
	const known = statement.cachedPlan;
	if (known?.catalogVersion === catalogVersion && known.declared === declared && !transaction.hasCatalogChanges) {
		return known.planned;
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
