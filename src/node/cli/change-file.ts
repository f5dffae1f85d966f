/**
 * Change files, which hold the desired configuration or operations that lead to it.
 */
import {readFile} from 'node:fs/promises';
import {Left, type Either} from 'purify-ts';
import {z} from 'zod';
import {documentSchema, operationsSchema} from '../../common/configuration/schema.js';
import type {DesiredChange} from '../operators/operator-client.js';
import {parseSettings} from '../settings/settings-file.js';
import type {CliContext} from './types.js';

/** The output of `config get`, edited or not. */
const versionedSchema = z.strictObject({version: z.int().min(0), document: documentSchema});

const operationListSchema = operationsSchema.transform(operations => ({operations}));

const wrappedOperationsSchema = z.strictObject({operations: operationsSchema});

const plainSchema = documentSchema.transform(document => ({document}));

/** The content of a change file. */
export type ChangeFile = z.output<typeof versionedSchema> | z.output<typeof wrappedOperationsSchema> | z.output<typeof plainSchema>;

/** File name that stands for standard input. */
const standardInput = '-';

/** Reads a change file; the message of a Left names every problem with its line and column. */
export async function readChangeFile(context: CliContext, file: string): Promise<Either<Error, ChangeFile>> {
	try {
		const text = file === standardInput ? await context.readInput() : await readFile(file, 'utf8');
		return parseSettings(text, file, z.unknown(), context.environment)
			.chain((content): Either<Error, ChangeFile> => parseSettings<z.ZodType<ChangeFile>>(text, file, schemaFor(content), context.environment));
	} catch (error) {
		return Left(error instanceof Error ? error : new Error(String(error)));
	}
}

/** Chooses the schema of the form that a file appears to have, so that problems are reported against that form only. */
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

/** The desired change as the API takes it, without the version that a file may carry. */
export function desiredChangeOf(changeFile: ChangeFile): DesiredChange {
	return 'operations' in changeFile ? {operations: changeFile.operations} : {document: changeFile.document};
}
