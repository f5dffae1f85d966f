/**
 * The schema of the project's own settings for nodes that reach every endpoint themselves.
 * Where such a node stands, and what it reaches, comes from the platform.
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

/** Log lines that a process may write in a second, besides those of start, stop and lost dependencies. */
const defaultLinesPerS = 100;

/** Port of the metrics where none is set. */
const defaultMetricsPort = 9464;

const logsSchema = z.strictObject({
	level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	linesPerS: countField.default(defaultLinesPerS),
}).prefault({});

const metricsSchema = z.strictObject({
	/** Port on which counters and histograms are served; zero serves none. */
	port: portField.default(defaultMetricsPort),
}).prefault({});

/** Options of the parts; each part's constants.ts says what they mean. */
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

/** Settings of one node of this kind. */
export const directSettingsSchema = z.strictObject({
	logs: logsSchema,
	metrics: metricsSchema,
	tuning: tuningSchema,
});

/** Settings of one node of this kind, defaults filled in. */
export type DirectSettings = z.output<typeof directSettingsSchema>;
