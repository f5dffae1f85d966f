/**
 * The schema of the project's own settings for nodes that reach every endpoint themselves.
 * The platform provides such a node's location and the endpoints that it can reach.
 */
import {z} from 'zod';
import {catalogDefaults} from '../catalog/constants.js';
import {defaultHomeOptions} from '../homes/constants.js';
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
}).prefault({});

/** Schema of the settings of a node that reaches every endpoint itself. */
export const directSettingsSchema = z.strictObject({
	logs: logsSchema,
	metrics: metricsSchema,
	tuning: tuningSchema,
});

/** Settings of a node that reaches every endpoint itself, defaults filled in. */
export type DirectSettings = z.output<typeof directSettingsSchema>;
