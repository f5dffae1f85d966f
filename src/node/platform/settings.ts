/**
 * Settings of the platform adapters. Their defaults are those of the node's settings.
 */
import {z} from 'zod';
import {settingsDefaults} from '../../common/settings/constants.js';

const {platform: defaults} = settingsDefaults;

/** Addresses, names, credentials and timeouts of the platform's services. */
export const platformSettingsSchema = z.strictObject({
	/** URL of the table service; by default that of the region. */
	tableEndpoint: z.url().optional(),
	/** URL of the object store; by default that of the region. */
	objectsEndpoint: z.url().optional(),
	region: z.string().default(defaults.region),
	/** Name of the table; its keys are `partition` and `sort`. */
	table: z.string().default(defaults.tableName),
	bucket: z.string().default(defaults.bucket),
	/** Omitted if the platform provides credentials to the process. */
	credentials: z.strictObject({accessKeyId: z.string(), secretAccessKey: z.string()}).optional(),
	/** Timeout for opening a connection. */
	connectTimeoutMs: z.int().positive().default(defaults.connectTimeoutMs),
	/** Timeout of an operation; the outcome of a write that exceeds it is unknown. */
	requestTimeoutMs: z.int().positive().default(defaults.requestTimeoutMs),
});

export type PlatformSettings = z.infer<typeof platformSettingsSchema>;
