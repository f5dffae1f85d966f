/**
 * Problems of a configuration: each names a JSON path and what was expected there.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {z} from 'zod';

/** What is wrong where. */
export type Problem = {
	/** JSON path such as `$.services[0].groups[1].name`. */
	readonly path: string;
	readonly expected: string;
};

/** Problems reported at one time. */
const maximumProblems = 20;

/** Writes a path from its steps. */
export function formatPath(steps: readonly PropertyKey[]): string {
	const parts = steps.map(step => typeof step === 'number' ? `[${step}]` : `.${String(step)}`);
	return `$${parts.join('')}`;
}

/** What a union says that has no message of its own. */
const generalMessage = 'Invalid input';

type Issue = z.core.$ZodIssue;

/** The deepest issues of a union say more than that no member matched. */
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

/** Problems of a failed parse. */
export function problemsOf(error: z.ZodError): Problem[] {
	return error.issues.flatMap(issue => flattenIssue(issue, [])).slice(0, maximumProblems);
}

/** Parses input from outside; Left lists what was expected where. */
export function parseWith<Schema extends z.ZodType>(schema: Schema, input: unknown): Either<readonly Problem[], z.output<Schema>> {
	const result = schema.safeParse(input);
	return result.success ? Right(result.data) : Left(problemsOf(result.error));
}

/** Parses JSON text from outside. */
export function parseJsonWith<Schema extends z.ZodType>(schema: Schema, text: string): Either<readonly Problem[], z.output<Schema>> {
	try {
		return parseWith(schema, JSON.parse(text));
	} catch {
		return Left([{path: '$', expected: 'expected JSON text'}]);
	}
}
