/**
 * Schemas of the requests of DynamoDB's JSON API, restricted to what the product uses.
 */
/* eslint-disable @typescript-eslint/naming-convention -- the names are DynamoDB's. */
import {z} from 'zod';

const attributeValue = z.union([z.strictObject({S: z.string()}), z.strictObject({N: z.string().regex(/^-?\d+(?:\.\d+)?$/v)})]);
const attributeMap = z.record(z.string(), attributeValue);

const expressionParts = {
	ExpressionAttributeNames: z.record(z.string(), z.string()).default({}),
	ExpressionAttributeValues: attributeMap.default({}),
};

const putParts = {
	TableName: z.string(),
	Item: attributeMap,
	ConditionExpression: z.string().optional(),
	ReturnValuesOnConditionCheckFailure: z.enum(['ALL_OLD', 'NONE']).default('NONE'),
	...expressionParts,
};

export const getItemSchema = z.strictObject({
	TableName: z.string(),
	Key: attributeMap,
	ConsistentRead: z.boolean().default(false),
});

export const putItemSchema = z.strictObject(putParts);

export const querySchema = z.strictObject({
	TableName: z.string(),
	KeyConditionExpression: z.string(),
	Limit: z.int().min(1).optional(),
	ExclusiveStartKey: attributeMap.optional(),
	ScanIndexForward: z.literal(true).default(true),
	ConsistentRead: z.boolean().default(false),
	...expressionParts,
});

export const transactWriteItemsSchema = z.strictObject({
	TransactItems: z.array(z.strictObject({Put: z.strictObject(putParts)})).min(1).max(100),
	ClientRequestToken: z.string().min(1).max(36).optional(),
});

export const createTableSchema = z.looseObject({
	TableName: z.string(),
	KeySchema: z.array(z.strictObject({AttributeName: z.string(), KeyType: z.enum(['HASH', 'RANGE'])})).length(2),
});

export const describeTableSchema = z.strictObject({TableName: z.string()});

export type PutRequest = z.infer<typeof putItemSchema>;
export type QueryRequest = z.infer<typeof querySchema>;
