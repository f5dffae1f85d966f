/**
 * Compiles and evaluates lists of result columns, of SELECT and of RETURNING.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import type {Node} from 'libpg-query';
import type {Row} from '../types.js';
import type {Compilation} from './compilation.js';
import {
	compileExpression, namesOf, unwrapNode, typeOf,
} from './compile-expression.js';
import {resolveUnknownType, type Evaluation, type Expression} from './expression.js';
import type {ResultColumn} from './plan.js';

/** A result column and how it is computed. */
export type Target = {
	readonly name: string;
	readonly expression: Expression;
	/** Node of the expression in the parse tree; undefined for a column of `*`. */
	readonly node: Node | undefined;
};

/** Compiles a list of result columns. */
export function compileTargets(nodes: readonly Node[] | undefined, compilation: Compilation): Target[] {
	return (nodes ?? []).flatMap(node => {
		const target = 'ResTarget' in node ? node.ResTarget : {};
		const fields = target.val && 'ColumnRef' in target.val ? target.val.ColumnRef.fields ?? [] : [];
		const last = fields.at(-1);
		if (last && 'A_Star' in last) {
			return compilation.star(namesOf(fields.slice(0, -1)).at(-1)).map(column => ({...column, node: undefined}));
		}

		const expression = resolveUnknownType(compileExpression(target.val, compilation));
		return [{name: target.name ?? defaultName(target.val), expression, node: target.val}];
	});
}

/** Names and types of the result columns. */
export function columnsOf(targets: readonly Target[]): ResultColumn[] {
	return targets.map(({name, expression}) => ({name, type: expression.type}));
}

/** Computes one row of a result. */
export function evaluateTargets(targets: readonly Target[], evaluation: Evaluation): Row {
	return targets.map(target => target.expression.evaluate(evaluation));
}

const fixedNames: Readonly<Record<string, string>> = {
	CoalesceExpr: 'coalesce', CaseExpr: 'case', A_Const: '?column?',
};

function defaultName(node: Node | undefined): string {
	if (!node) {
		return '?column?';
	}

	if ('ColumnRef' in node) {
		return namesOf(node.ColumnRef.fields).at(-1) ?? '?column?';
	}

	if ('FuncCall' in node) {
		return namesOf(node.FuncCall.funcname).at(-1) ?? '?column?';
	}

	if ('TypeCast' in node) {
		const inner = defaultName(node.TypeCast.arg);
		return inner === '?column?' ? typeOf(node.TypeCast.typeName).name : inner;
	}

	if ('MinMaxExpr' in node) {
		return node.MinMaxExpr.op === 'IS_LEAST' ? 'least' : 'greatest';
	}

	if ('SQLValueFunction' in node) {
		return (node.SQLValueFunction.op ?? '').replace('SVFOP_', '').toLowerCase();
	}

	return fixedNames[unwrapNode(node)[0]] ?? '?column?';
}
