/**
 * Describes the issues of a schema: what was expected and what was found. Values of secrets are
 * never shown.
 */
import {z} from 'zod';
import type {PathStep} from './types.js';

type Issue = z.core.$ZodIssue;

/** Describers by code of the issue; each compares the code again, since only this narrows the type. */
const describers = new Map<string, (issue: Issue) => string | undefined>([
	['invalid_type', issue => issue.code === 'invalid_type' ? typeName(issue.expected) : undefined],
	['invalid_value', issue => issue.code === 'invalid_value' ? `one of ${listOf(issue.values)}` : undefined],
	['too_small', issue => issue.code === 'too_small' ? `at least ${issue.minimum}${unitOf(issue.origin)}` : undefined],
	['too_big', issue => issue.code === 'too_big' ? `at most ${issue.maximum}${unitOf(issue.origin)}` : undefined],
]);

/** Maximum number of characters of a value that are shown. */
const maximumShownChars = 60;

/** Names of properties whose values are secret. */
const secretPattern = /password|key|secret|credential/iv;

/** Describes what the schema expected at the path of an issue. */
export function describeExpected(issue: Issue): string {
	return describers.get(issue.code)?.(issue) ?? issue.message.replace(/^Invalid (?:input: expected|discriminator value\. Expected) /v, '');
}

/** Describes a value that was found at a path, without showing secrets. */
export function describeFound(value: unknown, path: readonly PathStep[]): string {
	if (value === undefined) {
		return 'nothing';
	}

	if (typeof value === 'object' && value !== null) {
		return Array.isArray(value) ? `a list of ${value.length}` : 'an object';
	}

	// The name of the closest property decides, so elements of a list are as secret as the list.
	if (secretPattern.test(String(path.findLast(step => typeof step === 'string')))) {
		return `a ${typeof value} that is not shown`;
	}

	const text = JSON.stringify(value);
	return text.length > maximumShownChars ? `${text.slice(0, maximumShownChars)}…` : text;
}

/** Names of the properties that the schema allows at a path; empty if it has no object there. */
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

/** Narrows to a type without `any`, which plain `instanceof` yields for a generic class. */
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
