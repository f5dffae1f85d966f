/**
 * Compiles expressions of the parse tree, with one handler for each kind of node.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import type {
	A_Const as Constant, A_Expr as OperatorExpression, ColumnRef, FuncCall, Node, TypeCast, TypeName, BoolExpr, CaseExpr, NullTest, BooleanTest, CoalesceExpr, MinMaxExpr, SQLValueFunction, ParamRef,
} from 'libpg-query';
import type {SqlValue} from '../types.js';
import {isAggregate, makeAggregate} from './aggregates.js';
import type {Compilation} from './compilation.js';
import {
	asCondition, coerce, compareValues, literal, resolveUnknownType, type Expression,
} from './expression.js';
import {callFunction} from './functions.js';
import {
	applyOperator, compareExpressions, compileInList, combineConditions, matchTypes, negate, widerNumber,
} from './operators.js';
import {parseArray} from './array-text.js';
import {SqlError, notSupported} from './sql-error.js';
import {
	convertValue, formatTimestamp, sqlTypes, typeNamed, type SqlType,
} from './sql-types.js';

/** Kind and content of a node. */
export function unwrapNode(node: Node): [string, unknown] {
	return Object.entries(node)[0];
}

/** Names in a list of string nodes. */
export function namesOf(nodes: readonly Node[] | undefined): string[] {
	return (nodes ?? []).map(node => 'String' in node ? node.String.sval ?? '' : '');
}

/** The type that a type name in SQL stands for; arrays are not supported. */
export function typeOf(typeName: TypeName | undefined): SqlType {
	if ((typeName?.arrayBounds ?? []).length > 0) {
		throw notSupported('an array type');
	}

	return typeNamed(namesOf(typeName?.names).at(-1) ?? '');
}

type Handler = (body: never, compilation: Compilation, expected: SqlType | undefined) => Expression;

const handlers: Readonly<Record<string, Handler>> = {
	A_Const: compileConstant,
	ParamRef: (body: ParamRef, compilation, expected) => compilation.parameter(body.number ?? 0, expected),
	ColumnRef: compileColumn,
	A_Expr: compileOperator,
	BoolExpr: compileBoolean,
	NullTest: compileNullTest,
	BooleanTest: compileBooleanTest,
	TypeCast: compileCast,
	FuncCall: compileCall,
	CoalesceExpr: compileCoalesce,
	MinMaxExpr: compileMinMax,
	CaseExpr: compileCase,
	SQLValueFunction: compileValueFunction,
};

/** Compiles one expression; `expected` is the type that its context expects, which decides the types of constants and parameters without one. */
export function compileExpression(node: Node | undefined, compilation: Compilation, expected?: SqlType): Expression {
	if (!node) {
		throw new SqlError('42601', 'an expression is missing');
	}

	const [kind, body] = unwrapNode(node);
	const handler = handlers[kind] as Handler | undefined;
	if (!handler) {
		throw notSupported(`an expression of kind ${kind}`);
	}

	return handler(body as never, compilation, expected); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the kind decides the content's type.
}

function compileConstant(body: Constant): Expression {
	if (body.isnull) {
		return literal(undefined, sqlTypes.unknown);
	}

	if (body.sval) {
		return literal(body.sval.sval ?? '', sqlTypes.unknown);
	}

	if (body.boolval) {
		return literal(body.boolval.boolval ?? false, sqlTypes.bool);
	}

	if (body.fval) {
		const value = Number(body.fval.fval);
		return literal(value, Number.isSafeInteger(value) && !/[.e]/iv.test(body.fval.fval ?? '') ? sqlTypes.int8 : sqlTypes.numeric);
	}

	return literal(body.ival?.ival ?? 0, sqlTypes.int4);
}

function compileColumn(body: ColumnRef, compilation: Compilation): Expression {
	const names = namesOf(body.fields);
	return compilation.column(names.length > 1 ? names.at(-2) : undefined, names.at(-1) ?? '');
}

function isParameter(node: Node | undefined): boolean {
	return node !== undefined && 'ParamRef' in node;
}

/** Compiles both sides; a parameter whose type is not known gets the type of the other side. */
function compilePair(left: Node | undefined, right: Node | undefined, compilation: Compilation): [Expression, Expression] {
	if (isParameter(left) && !isParameter(right)) {
		const compiledRight = compileExpression(right, compilation);
		return [compileExpression(left, compilation, compiledRight.type), compiledRight];
	}

	const compiledLeft = compileExpression(left, compilation);
	return [compiledLeft, compileExpression(right, compilation, compiledLeft.type)];
}

function listItems(node: Node | undefined): readonly Node[] {
	return node && 'List' in node ? node.List.items ?? [] : [];
}

const operatorKinds: Readonly<Record<string, (body: OperatorExpression, name: string, compilation: Compilation) => Expression>> = {
	AEXPR_OP(body, name, compilation) {
		if (!body.lexpr) {
			return applyOperator(name, literal(0, sqlTypes.int4), compileExpression(body.rexpr, compilation, sqlTypes.int4));
		}

		return applyOperator(name, ...compilePair(body.lexpr, body.rexpr, compilation));
	},
	AEXPR_LIKE: (body, name, compilation) => applyOperator(name, ...compilePair(body.lexpr, body.rexpr, compilation)),
	AEXPR_ILIKE: (body, name, compilation) => applyOperator(name, ...compilePair(body.lexpr, body.rexpr, compilation)),
	AEXPR_IN(body, name, compilation) {
		const left = compileExpression(body.lexpr, compilation);
		const items = listItems(body.rexpr).map(item => compileExpression(item, compilation, left.type));
		return compileInList(left, items, name === '<>');
	},
	AEXPR_BETWEEN: (body, _name, compilation) => compileBetween(body, compilation),
	AEXPR_NOT_BETWEEN: (body, _name, compilation) => negate(compileBetween(body, compilation)),
	AEXPR_OP_ANY: compileAny,
	AEXPR_NULLIF(body, _name, compilation) {
		const [left, right] = matchTypes(...compilePair(body.lexpr, body.rexpr, compilation));
		const isEqual = compareExpressions('=', left, right);
		return {...left, literal: undefined, evaluate: evaluation => isEqual.evaluate(evaluation) === true ? undefined : left.evaluate(evaluation)};
	},
	AEXPR_DISTINCT: (body, _name, compilation) => compileDistinct(body, compilation, true),
	AEXPR_NOT_DISTINCT: (body, _name, compilation) => compileDistinct(body, compilation, false),
};

function compileOperator(body: OperatorExpression, compilation: Compilation): Expression {
	const handler = operatorKinds[body.kind ?? ''] as (typeof operatorKinds)[string] | undefined;
	if (!handler) {
		throw notSupported(`an operator of kind ${body.kind}`);
	}

	return handler(body, namesOf(body.name).at(-1) ?? '', compilation);
}

function compileBetween(body: OperatorExpression, compilation: Compilation): Expression {
	const left = compileExpression(body.lexpr, compilation);
	const [low, high] = listItems(body.rexpr).map(item => compileExpression(item, compilation, left.type));
	return combineConditions([compareExpressions('>=', left, low), compareExpressions('<=', left, high)], false);
}

/** Compiles `value = ANY ($1)` with an array in text format. */
function compileAny(body: OperatorExpression, name: string, compilation: Compilation): Expression {
	const left = resolveUnknownType(compileExpression(body.lexpr, compilation));
	const right = compileExpression(body.rexpr, compilation, sqlTypes.text);
	const item: {value: SqlValue} = {value: undefined};
	const comparison = compareExpressions(name, left, {type: left.type, readsRow: false, evaluate: () => item.value});
	return {
		type: sqlTypes.bool,
		readsRow: left.readsRow || right.readsRow,
		evaluate(evaluation) {
			const text = right.evaluate(evaluation);
			return text === undefined
				? undefined
				: parseArray(String(text)).some(part => {
					item.value = convertValue(part, sqlTypes.text, left.type);
					return comparison.evaluate(evaluation) === true;
				});
		},
	};
}

function compileDistinct(body: OperatorExpression, compilation: Compilation, isDistinct: boolean): Expression {
	const [left, right] = matchTypes(...compilePair(body.lexpr, body.rexpr, compilation));
	return {
		type: sqlTypes.bool,
		readsRow: left.readsRow || right.readsRow,
		evaluate: evaluation => (left.evaluate(evaluation) !== right.evaluate(evaluation)) === isDistinct,
	};
}

function compileBoolean(body: BoolExpr, compilation: Compilation): Expression {
	const conditions = (body.args ?? []).map(argument => asCondition(compileExpression(argument, compilation, sqlTypes.bool)));
	return body.boolop === 'NOT_EXPR' ? negate(conditions[0]) : combineConditions(conditions, body.boolop === 'OR_EXPR');
}

function compileNullTest(body: NullTest, compilation: Compilation): Expression {
	const {evaluate, readsRow} = compileExpression(body.arg, compilation);
	const wantsNull = body.nulltesttype === 'IS_NULL';
	return {type: sqlTypes.bool, readsRow, evaluate: evaluation => (evaluate(evaluation) === undefined) === wantsNull};
}

function compileBooleanTest(body: BooleanTest, compilation: Compilation): Expression {
	const {evaluate, readsRow} = asCondition(compileExpression(body.arg, compilation, sqlTypes.bool));
	const [, not, word] = /^IS_(?<not>NOT_)?(?<word>TRUE|FALSE|UNKNOWN)$/v.exec(body.booltesttype ?? '') ?? [];
	const wanted = word === 'UNKNOWN' ? undefined : word === 'TRUE';
	return {type: sqlTypes.bool, readsRow, evaluate: evaluation => (evaluate(evaluation) === wanted) === !not};
}

function compileCast(body: TypeCast, compilation: Compilation): Expression {
	const type = typeOf(body.typeName);
	return coerce(compileExpression(body.arg, compilation, type), type);
}

function compileCall(body: FuncCall, compilation: Compilation): Expression {
	const name = namesOf(body.funcname).at(-1) ?? '';
	if (!isAggregate(name)) {
		const parts = (body.args ?? []).map(argument => compileExpression(argument, compilation));
		return name === 'pg_sleep' ? compileSleep(parts, compilation) : callFunction(name, parts);
	}

	compilation.isInsideAggregate = true;
	const parts = (body.args ?? []).map(argument => compileExpression(argument, compilation));
	compilation.isInsideAggregate = false;
	const index = compilation.aggregates.length;
	const aggregate = makeAggregate(name, parts, body.agg_star ?? false, body.agg_distinct ?? false);
	compilation.aggregates.push(aggregate);
	return {type: aggregate.type, readsRow: true, evaluate: evaluation => evaluation.aggregates?.[index]};
}

/** Compiles pg_sleep. The delay is added to `compilation.sleeps` and happens when the statement runs; the value of the call is empty. */
function compileSleep(parts: readonly Expression[], compilation: Compilation): Expression {
	if (parts.length !== 1) {
		throw new SqlError('42883', 'function pg_sleep expects one argument');
	}

	compilation.sleeps.push(coerce(parts[0], sqlTypes.float8));
	return {type: sqlTypes.void, readsRow: false, evaluate: () => ''};
}

/** Compiles alternatives (of CASE, COALESCE, LEAST or GREATEST) and converts them to one type. */
function compileAlternatives(nodes: readonly Node[], compilation: Compilation, expected: SqlType | undefined): Expression[] {
	const parts = nodes.map(node => compileExpression(node, compilation, expected));
	const known = parts.map(part => part.type).filter(type => type !== sqlTypes.unknown);
	let type = known.at(0) ?? expected ?? sqlTypes.text;
	for (const other of known) {
		type = type.category === 'number' && other.category === 'number' ? widerNumber(type, other) : type;
	}

	return parts.map(part => coerce(part, type));
}

function compileCoalesce(body: CoalesceExpr, compilation: Compilation, expected: SqlType | undefined): Expression {
	const parts = compileAlternatives(body.args ?? [], compilation, expected);
	return {
		type: parts[0].type,
		readsRow: parts.some(part => part.readsRow),
		evaluate(evaluation) {
			for (const part of parts) {
				const value = part.evaluate(evaluation);
				if (value !== undefined) {
					return value;
				}
			}

			return undefined;
		},
	};
}

function compileMinMax(body: MinMaxExpr, compilation: Compilation, expected: SqlType | undefined): Expression {
	const parts = compileAlternatives(body.args ?? [], compilation, expected);
	const sign = body.op === 'IS_GREATEST' ? 1 : -1;
	return {
		type: parts[0].type,
		readsRow: parts.some(part => part.readsRow),
		evaluate(evaluation) {
			const values = parts.map(part => part.evaluate(evaluation)).filter(value => value !== undefined);
			return values.toSorted((a, b) => compareValues(b, a) * sign).at(0);
		},
	};
}

function compileCase(body: CaseExpr, compilation: Compilation, expected: SqlType | undefined): Expression {
	const branches = (body.args ?? []).flatMap(node => 'CaseWhen' in node ? [node.CaseWhen] : []);
	const subject = body.arg ? compileExpression(body.arg, compilation) : undefined;
	const conditions = branches.map(branch => {
		const condition = compileExpression(branch.expr, compilation, subject?.type ?? sqlTypes.bool);
		return subject ? compareExpressions('=', subject, condition) : asCondition(condition);
	});
	const nullNode: Node = {A_Const: {isnull: true}};
	const results = compileAlternatives([...branches.map(branch => branch.result ?? nullNode), body.defresult ?? nullNode], compilation, expected);
	return {
		type: results[0].type,
		readsRow: [...conditions, ...results].some(part => part.readsRow),
		evaluate(evaluation) {
			const index = conditions.findIndex(condition => condition.evaluate(evaluation) === true);
			return results.at(index)?.evaluate(evaluation);
		},
	};
}

const valueFunctions: Readonly<Record<string, Expression>> = {
	SVFOP_CURRENT_TIMESTAMP: callFunction('now', []),
	SVFOP_CURRENT_USER: {type: sqlTypes.text, readsRow: false, evaluate: ({facts}) => facts.user},
	SVFOP_SESSION_USER: {type: sqlTypes.text, readsRow: false, evaluate: ({facts}) => facts.user},
	SVFOP_USER: {type: sqlTypes.text, readsRow: false, evaluate: ({facts}) => facts.user},
	SVFOP_CURRENT_CATALOG: {type: sqlTypes.text, readsRow: false, evaluate: ({facts}) => facts.database},
	SVFOP_CURRENT_DATE: {type: sqlTypes.date, readsRow: false, evaluate: ({facts}) => formatTimestamp(facts.transactionTimeMs, false).slice(0, 10)},
	SVFOP_LOCALTIMESTAMP: {type: sqlTypes.timestamp, readsRow: false, evaluate: ({facts}) => formatTimestamp(facts.transactionTimeMs, false)},
};

function compileValueFunction(body: SQLValueFunction): Expression {
	const found = valueFunctions[body.op ?? ''] as Expression | undefined;
	if (!found) {
		throw notSupported(`the value ${body.op}`);
	}

	return found;
}
