/**
 * Files that say what the configuration is to become.
 */
import {readFile} from 'node:fs/promises';
import {Left, type Either} from 'purify-ts';
import {z} from 'zod';
import {documentSchema, operationsSchema} from '../../common/configuration/schema.js';
import type {DesiredChange} from '../operators/operator-client.js';
import {parseSettings} from '../settings/settings-file.js';
import type {CliContext} from './types.js';

/** The output of `config get`, after editing or not. */
const versionedSchema = z.strictObject({version: z.int().min(0), document: documentSchema});

const operationListSchema = operationsSchema.transform(operations => ({operations}));

const wrappedOperationsSchema = z.strictObject({operations: operationsSchema});

const plainSchema = documentSchema.transform(document => ({document}));

/** What a file asks for. */
export type ChangeFile = z.output<typeof versionedSchema> | z.output<typeof wrappedOperationsSchema> | z.output<typeof plainSchema>;

/** File name that stands for standard input. */
const standardInput = '-';

/** Reads a file; the Left's message names every problem with its place. */
export async function readChangeFile(context: CliContext, file: string): Promise<Either<Error, ChangeFile>> {
	try {
		const text = file === standardInput ? await context.readInput() : await readFile(file, 'utf8');
		return parseSettings(text, file, z.unknown(), context.environment)
			.chain((content): Either<Error, ChangeFile> => parseSettings<z.ZodType<ChangeFile>>(text, file, schemaFor(content), context.environment));
	} catch (error) {
		return Left(error instanceof Error ? error : new Error(String(error)));
	}
}

/** The schema that a file is meant for, so that its problems are told in its own terms. */
function schemaFor(content: unknown): z.ZodType<ChangeFile> {
	if (Array.isArray(content)) {
		return operationListSchema;
	}

	const names = typeof content === 'object' && content !== null ? Object.keys(content) : [];
	if (names.includes('operations')) {
		return wrappedOperationsSchema;
	}

	return names.includes('document') ? versionedSchema : plainSchema;
}

/** What the API is asked for, without the number that a file carries. */
export function desiredChangeOf(wish: ChangeFile): DesiredChange {
	return 'operations' in wish ? {operations: wish.operations} : {document: wish.document};
}
