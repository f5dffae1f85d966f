/**
 * Compiles operators, conditions and their combinations.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import type {SqlValue} from '../types.js';
import {
	coerce, compareValues, resolveUnknownType, type Expression,
} from './expression.js';
import {SqlError} from './sql-error.js';
import {formatValue, sqlTypes, type SqlType} from './sql-types.js';

type NonNullValue = Exclude<SqlValue, undefined>;

const comparisons: Readonly<Record<string, (order: number) => boolean>> = {
	'=': order => order === 0,
	'<>': order => order !== 0,
	'!=': order => order !== 0,
	'<': order => order < 0,
	'<=': order => order <= 0,
	'>': order => order > 0,
	'>=': order => order >= 0,
};

function divide(a: number, b: number, isInteger: boolean): number {
	if (b === 0) {
		throw new SqlError('22012', 'division by zero');
	}

	return isInteger ? Math.trunc(a / b) : a / b;
}

const arithmetic: Readonly<Record<string, (a: number, b: number, isInteger: boolean) => number>> = {
	'+': (a, b) => a + b,
	'-': (a, b) => a - b,
	'*': (a, b) => a * b,
	'/': divide,
	'%'(a, b) {
		divide(a, b, true);
		return a % b;
	},
	'^': (a, b) => a ** b,
};

/** Numeric types from the narrowest to the widest. */
const numberOrder = ['int2', 'int4', 'int8', 'numeric', 'float4', 'float8'];
const integerTypes = new Set(['int2', 'int4', 'int8']);

/** The wider of two numeric types. */
export function widerNumber(a: SqlType, b: SqlType): SqlType {
	return numberOrder.indexOf(a.name) >= numberOrder.indexOf(b.name) ? a : b;
}

/** Converts a side of type unknown to the type of the other side. */
export function matchTypes(left: Expression, right: Expression): [Expression, Expression] {
	if (left.type === sqlTypes.unknown) {
		const resolvedRight = resolveUnknownType(right);
		return [coerce(left, resolvedRight.type), resolvedRight];
	}

	return [left, right.type === sqlTypes.unknown ? coerce(right, left.type) : right];
}

function missingOperator(name: string, left: Expression, right: Expression): SqlError {
	return new SqlError('42883', `operator does not exist: ${left.type.name} ${name} ${right.type.name}`);
}

function compileBinary(type: SqlType, left: Expression, right: Expression, apply: (a: NonNullValue, b: NonNullValue) => SqlValue): Expression {
	const {evaluate: evaluateLeft} = left;
	const {evaluate: evaluateRight} = right;
	return {
		type,
		readsRow: left.readsRow || right.readsRow,
		evaluate(evaluation) {
			const a = evaluateLeft(evaluation);
			const b = evaluateRight(evaluation);
			return a === undefined || b === undefined ? undefined : apply(a, b);
		},
	};
}

/** Compiles a comparison of two expressions. */
export function compareExpressions(name: string, leftRaw: Expression, rightRaw: Expression): Expression {
	const [left, right] = matchTypes(leftRaw, rightRaw);
	if (left.type.category !== right.type.category) {
		throw missingOperator(name, left, right);
	}

	const holds = comparisons[name];
	return compileBinary(sqlTypes.bool, left, right, (a, b) => holds(compareValues(a, b)));
}

function compileArithmetic(name: string, leftRaw: Expression, rightRaw: Expression): Expression {
	const [left, right] = matchTypes(leftRaw, rightRaw);
	if (left.type.category !== 'number' || right.type.category !== 'number') {
		throw missingOperator(name, left, right);
	}

	const type = widerNumber(left.type, right.type);
	const apply = arithmetic[name];
	const isInteger = integerTypes.has(type.name);
	return compileBinary(type, left, right, (a, b) => checkRange(apply(Number(a), Number(b), isInteger), type));
}

function checkRange(value: number, type: SqlType): number {
	if (type === sqlTypes.int4 && (value > 2_147_483_647 || value < -2_147_483_648)) {
		throw new SqlError('22003', 'integer out of range');
	}

	if (type === sqlTypes.int8 && !Number.isSafeInteger(value)) {
		throw new SqlError('22003', 'bigint out of range');
	}

	return value;
}

const likeTokens = /\\.|[\s\S]/gv;
const wildcards: ReadonlyMap<string, string> = new Map([['%', String.raw`[\s\S]*`], ['_', String.raw`[\s\S]`]]);

function likePattern(pattern: string, isCaseSensitive: boolean): RegExp {
	const source = pattern.replaceAll(likeTokens, token => {
		const character = token.length > 1 ? token.slice(1) : token;
		const wildcard = token.length > 1 ? undefined : wildcards.get(token);
		return wildcard ?? character.replaceAll(/[$\(\)*+.?\[\\\]^\{\|\}\/\-]/gv, String.raw`\$&`);
	});
	return new RegExp(`^${source}$`, isCaseSensitive ? 'v' : 'iv');
}

function compileLike(leftRaw: Expression, rightRaw: Expression, isCaseSensitive: boolean, isNegated: boolean): Expression {
	const left = resolveUnknownType(leftRaw);
	const right = resolveUnknownType(rightRaw);
	// The pattern is usually the same for all rows of a query, so the regular expression is cached.
	let cached: {readonly pattern: NonNullValue; readonly expression: RegExp} | undefined;
	return compileBinary(sqlTypes.bool, left, right, (a, b) => {
		if (cached?.pattern !== b) {
			cached = {pattern: b, expression: likePattern(formatValue(b), isCaseSensitive)};
		}

		return cached.expression.test(formatValue(a)) !== isNegated;
	});
}

const textOperators: Readonly<Record<string, (left: Expression, right: Expression) => Expression>> = {
	'||': (left, right) => compileBinary(sqlTypes.text, resolveUnknownType(left), resolveUnknownType(right), (a, b) => formatValue(a) + formatValue(b)),
	'~~': (left, right) => compileLike(left, right, true, false),
	'!~~': (left, right) => compileLike(left, right, true, true),
	'~~*': (left, right) => compileLike(left, right, false, false),
	'!~~*': (left, right) => compileLike(left, right, false, true),
};

/** Compiles an operator by its name. */
export function applyOperator(name: string, left: Expression, right: Expression): Expression {
	if (name in comparisons) {
		return compareExpressions(name, left, right);
	}

	if (name in arithmetic) {
		return compileArithmetic(name, left, right);
	}

	if (name in textOperators) {
		return textOperators[name](left, right);
	}

	throw missingOperator(name, left, right);
}

/** Compiles AND (`decidingValue` false) or OR (`decidingValue` true) in three-valued logic: one condition with that value decides the result. */
export function combineConditions(conditions: readonly Expression[], decidingValue: boolean): Expression {
	return {
		type: sqlTypes.bool,
		readsRow: conditions.some(condition => condition.readsRow),
		evaluate(evaluation) {
			let result: SqlValue = !decidingValue;
			for (const condition of conditions) {
				const value = condition.evaluate(evaluation);
				if (value === decidingValue) {
					return decidingValue;
				}

				result = value === undefined ? undefined : result;
			}

			return result;
		},
	};
}

/** Compiles IN or NOT IN; the result is NULL if no item is equal and the value or an item is NULL. */
export function compileInList(left: Expression, list: readonly Expression[], isNegated: boolean): Expression {
	const any = combineConditions(list.map(item => compareExpressions('=', left, item)), true);
	return isNegated ? negate(any) : any;
}

/** Compiles NOT; the negation of NULL is NULL. */
export function negate(condition: Expression): Expression {
	const {evaluate} = condition;
	return {
		type: sqlTypes.bool,
		readsRow: condition.readsRow,
		evaluate(evaluation) {
			const value = evaluate(evaluation);
			return value === undefined ? undefined : !value;
		},
	};
}
