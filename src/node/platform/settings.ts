/**
 * How the platform's services are reached. The numbers are those of the node's settings.
 */
import {z} from 'zod';
import {settingsDefaults} from '../../common/settings/constants.js';

const {platform: defaults} = settingsDefaults;

/** Settings of the platform adapters. */
export const platformSettingsSchema = z.strictObject({
	/** URL of the table service; the region's own when left out. */
	tableEndpoint: z.url().optional(),
	/** URL of the object store; the region's own when left out. */
	objectsEndpoint: z.url().optional(),
	region: z.string().default(defaults.region),
	/** Name of the table; its keys are `partition` and `sort`. */
	table: z.string().default(defaults.tableName),
	bucket: z.string().default(defaults.bucket),
	/** Left out where the platform hands them to the process. */
	credentials: z.strictObject({accessKeyId: z.string(), secretAccessKey: z.string()}).optional(),
	/** Time within which a connection is made or given up. */
	connectTimeoutMs: z.int().positive().default(defaults.connectTimeoutMs),
	/** Time within which an operation is answered or given up; a write's outcome is then unknown. */
	requestTimeoutMs: z.int().positive().default(defaults.requestTimeoutMs),
});

export type PlatformSettings = z.infer<typeof platformSettingsSchema>;
