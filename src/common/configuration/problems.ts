/**
 * Problems of a configuration or of other input: each names a JSON path and what was expected there.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {z} from 'zod';

/** One problem of an input, at one JSON path. */
export type Problem = {
	/** JSON path such as `$.services[0].groups[1].name`. */
	readonly path: string;
	readonly expected: string;
};

/** Maximum number of problems in one report. */
const maximumProblems = 20;

/** Formats the steps of a path as a JSON path. */
export function formatPath(steps: readonly PropertyKey[]): string {
	const parts = steps.map(step => typeof step === 'number' ? `[${step}]` : `.${String(step)}`);
	return `$${parts.join('')}`;
}

/** The message of the schema library for a union that has none of its own. */
const generalMessage = 'Invalid input';

type Issue = z.core.$ZodIssue;

/** Converts an issue to problems. The issue of a union only says that no member matched, so the problems of the member that has the fewest are reported instead. */
function flattenIssue(issue: Issue, prefix: readonly PropertyKey[]): Problem[] {
	const path = [...prefix, ...issue.path];
	if (issue.code === 'invalid_key') {
		return issue.issues.flatMap(inner => flattenIssue(inner, path));
	}

	if (issue.code !== 'invalid_union' || issue.message !== generalMessage) {
		return [{path: formatPath(path), expected: issue.message}];
	}

	const members = issue.errors
		.map(errors => errors.flatMap(error => flattenIssue(error, path)))
		.filter(problems => problems.length > 0)
		.toSorted((a, b) => a.length - b.length);
	return members[0] ?? [{path: formatPath(path), expected: issue.message}];
}

/** Converts the issues of a failed parse to problems, up to a limit. */
export function problemsOf(error: z.ZodError): Problem[] {
	return error.issues.flatMap(issue => flattenIssue(issue, [])).slice(0, maximumProblems);
}

/** Parses untrusted input by a schema; Left lists the problems. */
export function parseWith<Schema extends z.ZodType>(schema: Schema, input: unknown): Either<readonly Problem[], z.output<Schema>> {
	const result = schema.safeParse(input);
	return result.success ? Right(result.data) : Left(problemsOf(result.error));
}

/** Parses untrusted JSON text by a schema; Left lists the problems. */
export function parseJsonWith<Schema extends z.ZodType>(schema: Schema, text: string): Either<readonly Problem[], z.output<Schema>> {
	try {
		return parseWith(schema, JSON.parse(text));
	} catch {
		return Left([{path: '$', expected: 'expected JSON text'}]);
	}
}
