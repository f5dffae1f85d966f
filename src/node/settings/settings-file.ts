/**
 * Reads files in JSON with comments, checks them by a schema and reports all problems at once,
 * each with line and column.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {Left, Right, type Either} from 'purify-ts';
import type {z} from 'zod';
import {settingsSchema, type Settings} from '../../common/settings/settings-schema.js';
import {describeExpected, describeFound, knownProperties} from './describe-issue.js';
import {substituteVariables} from './environment.js';
import {JsonDocument} from './json-document.js';
import type {Environment, PathStep, SettingsProblem} from './types.js';

/** Error for a file with problems; its message has one line for each problem. */
export class SettingsError extends Error {
	override readonly name = 'SettingsError';
	readonly problems: readonly SettingsProblem[];

	constructor(file: string, problems: readonly SettingsProblem[]) {
		super(problems.map(problem => formatProblem(file, problem)).join('\n'));
		this.problems = problems;
	}
}

/** Reads the settings file of a node; Left lists all problems. */
export async function loadSettings(file: string, environment: Environment = process.env): Promise<Either<SettingsError, Settings>> {
	return loadFile(file, settingsSchema, environment);
}

/** Reads a file and checks it by a schema; Left lists all problems, or says why the file cannot be read. */
export async function loadFile<Schema extends z.ZodType>(
	file: string,
	schema: Schema,
	environment: Environment = process.env,
): Promise<Either<SettingsError, z.output<Schema>>> {
	try {
		return parseSettings(await readFile(file, 'utf8'), file, schema, environment);
	} catch (error) {
		const found = error instanceof Error ? error.message : String(error);
		return Left(new SettingsError(file, [{
			line: 1, column: 1, path: '', found, expected: 'a file that can be read',
		}]));
	}
}

/** Parses text and checks it by a schema; `file` is its name in messages. */
export function parseSettings<Schema extends z.ZodType>(
	text: string,
	file: string,
	schema: Schema,
	environment: Environment = process.env,
): Either<SettingsError, z.output<Schema>> {
	const document = new JsonDocument(text);
	if (document.problems.length > 0) {
		return Left(new SettingsError(file, document.problems));
	}

	const {value, missing} = substituteVariables(document.value, environment);
	const missingProblems = missing.map(({path, name}) =>
		document.problemAt(path, `environment variable ${name}, which is not set`, 'a variable that is set'));
	const result = schema.safeParse(value);
	if (result.success && missing.length === 0) {
		return Right(result.data);
	}

	const missingPaths = new Set(missingProblems.map(({path}) => path));
	const issueProblems = (result.error?.issues ?? [])
		.flatMap(issue => problemsOf(issue, document, schema))
		.filter(({path}) => !missingPaths.has(path));
	return Left(new SettingsError(file, sortByPosition([...missingProblems, ...issueProblems])));
}

/** Formats a problem as one line: file, line and column, path, what was found and what was expected. */
export function formatProblem(file: string, problem: SettingsProblem): string {
	const {line, column, path, found, expected} = problem;
	return `${file}:${line}:${column}: ${path === '' ? '' : `${path}: `}found ${found}, expected ${expected}`;
}

function problemsOf(issue: z.core.$ZodIssue, document: JsonDocument, schema: z.ZodType): SettingsProblem[] {
	const path = issue.path.map(step => typeof step === 'symbol' ? String(step) : step);
	if (issue.code === 'unrecognized_keys') {
		const known = knownProperties(schema, path).join(', ');
		return issue.keys.map(key => document.problemAt([...path, key], 'an unknown property', known === '' ? 'none' : `one of ${known}`));
	}

	return [document.problemAt(path, foundAt(document, path), describeExpected(issue))];
}

function foundAt(document: JsonDocument, path: readonly PathStep[]): string {
	return describeFound(document.valueAt(path), path);
}

function sortByPosition(problems: readonly SettingsProblem[]): SettingsProblem[] {
	return problems.toSorted((a, b) => a.line - b.line || a.column - b.column);
}
