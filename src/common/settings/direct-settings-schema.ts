/**
 * The schema of the project's own settings for nodes that reach every endpoint themselves.
 * The platform provides such a node's location and the endpoints that it can reach.
 */
import {z} from 'zod';
import {catalogDefaults} from '../catalog/constants.js';
import {defaultHomeOptions} from '../homes/constants.js';
import {retentionDefaults} from '../load/constants.js';
import {lineSessionDefaults} from '../line-sessions/constants.js';
import {usageDefaults} from '../organisations/constants.js';
import {peeringDefaults} from '../peering/constants.js';
import {poolDefaults} from '../pools/constants.js';
import {primacyDefaults} from '../primacy/constants.js';
import {restoreDefaults} from '../store/constants.js';
import {countField, portField, tuningField} from './fields.js';

/** Rate limit of a process's log lines per second; lines about start, stop and lost dependencies are exempt. */
const defaultLinesPerS = 100;

/** Default port of the metrics endpoint. */
const defaultMetricsPort = 9464;

const logsSchema = z.strictObject({
	level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	linesPerS: countField.default(defaultLinesPerS),
}).prefault({});

const metricsSchema = z.strictObject({
	/** Port on which counters and histograms are served; zero turns this off. */
	port: portField.default(defaultMetricsPort),
}).prefault({});

/** Which decisions under load are in effect; each can be turned off by itself, to compare a node with and without it. */
const loadSchema = z.strictObject({
	/** Whether queues of a large fleet order and admit statements by the response-time goals of their routes. */
	admissionByGoal: z.boolean().default(true),
	/** Whether refused callers are given places in a schedule of returns. */
	returnSchedule: z.boolean().default(true),
	/** Whether homes report their load, and nodes select endpoints and homes by it. */
	loadReports: z.boolean().default(true),
	/** Whether connections that belong to organisations are kept by how much slot time each saves. */
	connectionsByUse: z.boolean().default(true),
	/** Whether rows that are sent between nodes are compressed and sent in parts. */
	rowTransfer: z.boolean().default(true),
}).prefault({});

/** Options of the modules; the constants.ts of each module describes them. */
const tuningSchema = z.strictObject({
	catalog: tuningField(catalogDefaults),
	pools: tuningField(poolDefaults),
	primacy: tuningField(primacyDefaults),
	peering: tuningField(peeringDefaults),
	sessions: tuningField(lineSessionDefaults),
	queues: tuningField(defaultHomeOptions),
	usage: tuningField(usageDefaults),
	restores: tuningField(restoreDefaults),
	retention: tuningField(retentionDefaults),
}).prefault({});

/** Schema of the settings of a node that reaches every endpoint itself. */
export const directSettingsSchema = z.strictObject({
	logs: logsSchema,
	metrics: metricsSchema,
	load: loadSchema,
	tuning: tuningSchema,
});

/** Settings of a node that reaches every endpoint itself, defaults filled in. */
export type DirectSettings = z.output<typeof directSettingsSchema>;

/** Switches of the decisions under load. */
export type LoadSettings = DirectSettings['load'];
