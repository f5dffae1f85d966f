/**
 * Parser for the part of DynamoDB's condition and key expressions that the product uses: comparisons,
 * `attribute_exists` and `attribute_not_exists`, joined by AND, without parentheses.
 */
/* eslint-disable @typescript-eslint/naming-convention -- the names are DynamoDB's. */
import {DynamoError} from './dynamo-error.js';

/** A typed value, such as `{S: 'text'}` or `{N: '1'}`. */
export type AttributeValue = {readonly S?: string; readonly N?: string};

/** An item as the JSON API carries it. */
export type AttributeMap = Readonly<Record<string, AttributeValue>>;

/** Names and values by the placeholders that stand for them in an expression. */
export type Placeholders = {
	readonly names: Readonly<Record<string, string>>;
	readonly values: AttributeMap;
};

/** One comparison of an attribute with a value. */
export type Comparison = {readonly attribute: string; readonly operator: string; readonly value: AttributeValue | undefined};

const functionPattern = /^(?<operator>attribute_exists|attribute_not_exists)\s*\(\s*(?<attribute>[#\w]+)\s*\)$/v;
const comparisonPattern = /^(?<attribute>[#\w]+)\s*(?<operator>=|<>|<=|>=|<|>)\s*(?<value>:\w+)$/v;

/** Parses an expression into comparisons that must all hold; throws a DynamoError if it is not supported. */
export function parseExpression(text: string, placeholders: Placeholders): Comparison[] {
	return text.split(/\s+AND\s+/v).map(part => parseComparison(part.trim(), placeholders));
}

/** Returns whether an item, or its absence, satisfies every comparison. */
export function satisfies(item: AttributeMap | undefined, comparisons: readonly Comparison[]): boolean {
	return comparisons.every(({attribute, operator, value}) => tests[operator](item?.[attribute], value));
}

type Test = (actual: AttributeValue | undefined, wanted: AttributeValue | undefined) => boolean;

const tests: Readonly<Record<string, Test>> = {
	attribute_exists: actual => actual !== undefined,
	attribute_not_exists: actual => actual === undefined,
	'=': (actual, wanted) => order(actual, wanted) === 0,
	// An absent attribute differs from every value.
	'<>': (actual, wanted) => order(actual, wanted) !== 0,
	'<': (actual, wanted) => (order(actual, wanted) ?? 0) < 0,
	'>': (actual, wanted) => (order(actual, wanted) ?? 0) > 0,
	'<=': (actual, wanted) => (order(actual, wanted) ?? 1) <= 0,
	'>=': (actual, wanted) => (order(actual, wanted) ?? -1) >= 0,
};

/** Compares two values of the same type: negative, zero or positive; undefined if they cannot be compared. */
function order(a: AttributeValue | undefined, b: AttributeValue | undefined): number | undefined {
	if (a?.N !== undefined && b?.N !== undefined) {
		return Number(a.N) - Number(b.N);
	}

	if (a?.S === undefined || b?.S === undefined) {
		return undefined;
	}

	return a.S < b.S ? -1 : Number(a.S > b.S);
}

function parseComparison(text: string, placeholders: Placeholders): Comparison {
	const groups = (functionPattern.exec(text) ?? comparisonPattern.exec(text))?.groups;
	if (!groups) {
		throw new DynamoError('ValidationException', `unsupported expression: ${text}`);
	}

	return {
		attribute: resolveName(groups.attribute, placeholders),
		operator: groups.operator,
		value: groups.value === undefined ? undefined : resolveValue(groups.value, placeholders),
	};
}

function resolveName(name: string, {names}: Placeholders): string {
	if (!name.startsWith('#')) {
		return name;
	}

	const resolved = names[name];
	if (resolved === undefined) {
		throw new DynamoError('ValidationException', `expression attribute name not defined: ${name}`);
	}

	return resolved;
}

function resolveValue(name: string, {values}: Placeholders): AttributeValue {
	const resolved = values[name];
	if (resolved === undefined) {
		throw new DynamoError('ValidationException', `expression attribute value not defined: ${name}`);
	}

	return resolved;
}
