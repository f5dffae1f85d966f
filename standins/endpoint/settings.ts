/**
 * Settings of one endpoint process: a JSON file, in which comments are allowed.
 */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {parse, type ParseError} from 'jsonc-parser';
import {z} from 'zod';
import {instanceDefaults, statementDefaults} from './constants.js';

const lagSchema = z.strictObject({
	p50Ms: z.number().min(0),
	p99Ms: z.number().min(0),
});

const peerSchema = z.strictObject({
	name: z.string().min(1),
	host: z.string().min(1),
	port: z.int().min(1).max(65_535),
});

/** Schema of a settings file; unknown keys are rejected. */
export const settingsSchema = z.strictObject({
	name: z.string().min(1),
	group: z.string().min(1),
	availabilityZone: z.string().default(''),
	host: z.string().default('127.0.0.1'),
	/** 0 for any free port. */
	port: z.int().min(0).max(65_535).default(0),
	controlPort: z.int().min(0).max(65_535).default(0),
	/** Maximum number of statements that run concurrently. */
	slots: z.int().min(1).default(8),
	/** Maximum number of accepted connections, control connections included and replication connections excluded. */
	connections: z.int().min(1).default(100),
	connectCostMs: z.number().min(0).default(10),
	/** Time that each statement on data holds its slot in addition to its execution. */
	serviceTimeMs: z.number().min(0).default(0),
	/** Delay between receiving and applying log entries. */
	lag: lagSchema.default(instanceDefaults.lag),
	seed: z.int().default(1),
	user: z.string().default('postgres'),
	/** Without a password, clients are not authenticated. */
	password: z.string().optional(),
	authentication: z.enum(['md5', 'cleartext']).default('md5'),
	/** Name of the instance that is primary of term 1 at the first start; its own or a peer's. */
	initialPrimary: z.string().default(''),
	/** The other instances of the group. */
	peers: z.array(peerSchema).default([]),
	/** File that keeps the term promise across restarts, relative to the settings file. Default: the name of the settings file with `.promise` appended. */
	promiseFile: z.string().optional(),
	lockTimeoutMs: z.number().min(1).default(statementDefaults.lockTimeoutMs),
	logEntriesKept: z.int().min(1).default(instanceDefaults.logEntriesKept),
	streamRetryMs: z.number().min(1).default(instanceDefaults.streamRetryMs),
	streamAliveMs: z.number().min(1).default(instanceDefaults.streamAliveMs),
	streamSilenceMs: z.number().min(1).default(instanceDefaults.streamSilenceMs),
});

/** Settings with defaults filled in. */
export type EndpointSettings = z.infer<typeof settingsSchema>;

/** Settings as a file or a test gives them, before defaults are filled in. */
export type EndpointSettingsInput = z.input<typeof settingsSchema>;

/** Reads and validates a settings file; throws an error with a readable message if it is invalid. */
export function readSettings(file: string): EndpointSettings {
	const errors: ParseError[] = [];
	const content: unknown = parse(readFileSync(file, 'utf8'), errors, {allowTrailingComma: true});
	if (errors.length > 0) {
		throw new Error(`${file}: invalid JSON at offset ${errors[0].offset}`);
	}

	const checked = settingsSchema.safeParse(content);
	if (!checked.success) {
		throw new Error(`${file}: ${z.prettifyError(checked.error)}`);
	}

	const {promiseFile} = checked.data;
	return {...checked.data, promiseFile: promiseFile === undefined ? `${file}.promise` : path.resolve(path.dirname(file), promiseFile)};
}
