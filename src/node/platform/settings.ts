/**
 * How the platform's services are reached.
 */
import {z} from 'zod';
import {defaultConnectTimeoutMs, defaultRequestTimeoutMs} from './constants.js';

/** Settings of the platform adapters. */
export const platformSettingsSchema = z.strictObject({
	/** URL of the table service; the region's own when left out. */
	tableEndpoint: z.url().optional(),
	/** URL of the object store; the region's own when left out. */
	objectsEndpoint: z.url().optional(),
	region: z.string().default('local'),
	/** Name of the table; its keys are `partition` and `sort`. */
	table: z.string().default('quetzalstream'),
	/** Name of the object store's bucket. */
	bucket: z.string().default('quetzalstream'),
	/** Left out where the platform hands them to the process. */
	credentials: z.strictObject({accessKeyId: z.string(), secretAccessKey: z.string()}).optional(),
	connectTimeoutMs: z.int().positive().default(defaultConnectTimeoutMs),
	requestTimeoutMs: z.int().positive().default(defaultRequestTimeoutMs),
});

export type PlatformSettings = z.infer<typeof platformSettingsSchema>;
