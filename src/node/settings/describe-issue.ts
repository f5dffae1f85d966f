/**
 * Says what the schema expected where a value did not fit.
 */
import {z} from 'zod';
import type {PathStep} from './types.js';

type Issue = z.core.$ZodIssue;

/** Describers by code; each looks at the code again, as that narrows the type. */
const describers = new Map<string, (issue: Issue) => string | undefined>([
	['invalid_type', issue => issue.code === 'invalid_type' ? typeName(issue.expected) : undefined],
	['invalid_value', issue => issue.code === 'invalid_value' ? `one of ${listOf(issue.values)}` : undefined],
	['too_small', issue => issue.code === 'too_small' ? `at least ${issue.minimum}${unitOf(issue.origin)}` : undefined],
	['too_big', issue => issue.code === 'too_big' ? `at most ${issue.maximum}${unitOf(issue.origin)}` : undefined],
]);

/** Longest value that is shown in full. */
const maximumShownChars = 60;

/** Properties whose values are not shown. */
const secretPattern = /password|key|secret|credential/iv;

/** What was expected where the issue is. */
export function describeExpected(issue: Issue): string {
	return describers.get(issue.code)?.(issue) ?? issue.message.replace(/^Invalid (?:input: expected|discriminator value\. Expected) /v, '');
}

/** What stands there, without secrets. */
export function describeFound(value: unknown, path: readonly PathStep[]): string {
	if (value === undefined) {
		return 'nothing';
	}

	if (typeof value === 'object' && value !== null) {
		return Array.isArray(value) ? `a list of ${value.length}` : 'an object';
	}

	// An element of a list is as secret as the list's name says.
	if (secretPattern.test(String(path.findLast(step => typeof step === 'string')))) {
		return `a ${typeof value} that is not shown`;
	}

	const text = JSON.stringify(value);
	return text.length > maximumShownChars ? `${text.slice(0, maximumShownChars)}…` : text;
}

/** Names of the properties that an object of the schema may have at a path. */
export function knownProperties(schema: z.core.$ZodType, path: readonly PropertyKey[]): string[] {
	const [step, ...rest] = path;
	const current = unwrap(schema);
	if (step === undefined) {
		return isObject(current) ? Object.keys(current.shape) : [];
	}

	const inner = childOf(current, step);
	return inner ? knownProperties(inner, rest) : [];
}

function childOf(schema: z.core.$ZodType, step: PropertyKey): z.core.$ZodType | undefined {
	if (isObject(schema)) {
		return schema.shape[String(step)];
	}

	return schema instanceof z.ZodArray ? schema.element : undefined;
}

/** Narrows without the any that `instanceof` gives to a generic class. */
function isObject(schema: z.core.$ZodType): schema is z.ZodObject<Record<string, z.core.$ZodType>> {
	return schema instanceof z.ZodObject;
}

function unwrap(schema: z.core.$ZodType): z.core.$ZodType {
	if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault) {
		return unwrap(schema.unwrap());
	}

	return schema instanceof z.ZodPipe ? unwrap(schema.in) : schema;
}

function unitOf(origin: string): string {
	const units: Record<string, string> = {string: ' characters', array: ' entries', set: ' entries'};
	return units[origin] ?? '';
}

function typeName(expected: string): string {
	return expected === 'int' ? 'whole number' : expected;
}

function listOf(values: readonly unknown[]): string {
	return values.map(value => JSON.stringify(value)).join(', ');
}
