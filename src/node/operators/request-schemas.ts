/**
 * Schemas of what operators send.
 */
import {z} from 'zod';
import {configurationLimits} from '../../common/configuration/constants.js';
import {changeSchema, documentSchema, operationsSchema} from '../../common/configuration/schema.js';
import {pageSizes} from './constants.js';

const {changeId: changeIdField, basedOn: basedOnField} = changeSchema.shape;

const proposalFields = {
	/** Idempotency key, made by the sender; the same key is sent again if the response was lost. */
	changeId: changeIdField,
	basedOn: basedOnField,
	acknowledged: changeSchema.shape.acknowledged,
	note: changeSchema.shape.note,
};

/** The desired change: single operations, or a whole document that replaces the configuration. */
const desiredChangeFields = {
	operations: operationsSchema.optional(),
	document: documentSchema.optional(),
};

function hasExactlyOneForm({operations, document}: {operations?: unknown; document?: unknown}): boolean {
	return (operations === undefined) !== (document === undefined);
}

const exactlyOneFormMessage = 'expected either operations or document';

/** Body of `POST /api/changes`. */
export const proposeSchema = z.strictObject({...proposalFields, ...desiredChangeFields}).refine(hasExactlyOneForm, exactlyOneFormMessage);

/** Body of `POST /api/changes/preview`. */
export const previewSchema = z.union([
	z.strictObject({undoOf: z.int().min(1)}),
	z.strictObject(desiredChangeFields).refine(hasExactlyOneForm, exactlyOneFormMessage),
]);

/** Body of `POST /api/changes/:number/undo`. */
export const undoSchema = z.strictObject(proposalFields);

/** Body of `POST /api/groups/:name/primary`; without an endpoint the order ends. */
export const orderPrimarySchema = z.strictObject({
	...proposalFields,
	endpoint: z.string().max(configurationLimits.nameLength).optional(),
});

/** Path of one change. */
export const changePathSchema = z.strictObject({number: z.coerce.number<string>().pipe(z.int().min(1))});

/** Path of one group. */
export const groupPathSchema = z.strictObject({name: z.string().min(1).max(configurationLimits.nameLength)});

const textField = z.string().max(200);

/** Query of `GET /api/explain`. */
export const explainQuerySchema = z.strictObject({
	user: textField,
	group: textField,
	zone: textField.default(''),
	application: textField.default(''),
	access: z.enum(['read', 'write']).default('read'),
});

/** Query of `GET /api/changes`; newest first, before a number. */
export const changesQuerySchema = z.strictObject({
	before: z.coerce.number<string>().pipe(z.int().min(1)).optional(),
	limit: z.coerce.number<string>().pipe(z.int().min(1).max(pageSizes.changesMaximum)).default(pageSizes.changes),
});

/** Query of `GET /api/audit`; newest first, from the cursor that the previous page returned. */
export const auditQuerySchema = z.strictObject({
	before: textField.optional(),
	limit: z.coerce.number<string>().pipe(z.int().min(1).max(pageSizes.auditMaximum)).default(pageSizes.audit),
});
