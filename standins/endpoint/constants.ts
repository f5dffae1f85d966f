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

/** How long a drawn application delay stays in force. */
export const lagRedrawMs = 100;

/** Entries in one replication message. */
export const entriesPerMessage = 500;

/** Application names of connections with a purpose. */
export const appNames = {
	work: 'quetzalstream-work:',
	control: 'quetzalstream-control:',
	replication: 'quetzalstream-replication',
} as const;

/** Parameters that an endpoint reports. */
export const reportedParameters = {
	state: 'quetzalstream.state',
	position: 'quetzalstream.position',
} as const;

/** State reports on control connections. */
export const stateReports = {
	coalesceMs: 2,
	heartbeatMs: 500,
	/** Below the silence after which a primary is asked for its state: a report costs half of a question with its answer. */
	primaryHeartbeatMs: 180,
} as const;

/** Limits of statements. */
export const statementDefaults = {
	lockTimeoutMs: 5000,
	plansCached: 5000,
} as const;
