/**
 * Defaults of the endpoint stand-in.
 */
import type {InstanceOptions} from './types.js';

/** Defaults of one instance. */
export const instanceDefaults = {
	lag: {p50Ms: 0, p99Ms: 0},
	logEntriesKept: 50_000,
	streamRetryMs: 100,
	streamAliveMs: 100,
	streamSilenceMs: 700,
} as const satisfies Partial<InstanceOptions>;

/** Interval after which the application delay is drawn again from its distribution. */
export const lagRedrawMs = 100;

/** Maximum number of log entries in one replication message. */
export const entriesPerMessage = 500;

/** Application names that tell the purpose of a connection; for `work` and `control` the name of its owner follows the prefix. */
export const appNames = {
	work: 'quetzalstream-work:',
	control: 'quetzalstream-control:',
	replication: 'quetzalstream-replication',
} as const;

/** Names of the parameters that an endpoint reports in ParameterStatus messages. */
export const reportedParameters = {
	state: 'quetzalstream.state',
	position: 'quetzalstream.position',
} as const;

/** Timing of the state reports on control connections. */
export const stateReports = {
	coalesceMs: 2,
	heartbeatMs: 500,
	/** Shorter than the silence after which nodes request the state of a primary: a report is one message, a status request with its response is two. */
	primaryHeartbeatMs: 180,
} as const;

/** Default limits for statements. */
export const statementDefaults = {
	lockTimeoutMs: 5000,
	plansCached: 5000,
} as const;
