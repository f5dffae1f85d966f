/**
 * The numbered log events (docs/EVENTS.md). Numbers are never reused.
 *
 * Ranges: 1000 process, 1100 callers, 1200 endpoints and homes, 1300 peers and membership,
 * 1400 groups and promotion, 1500 configuration, 1600 platform, 1700 operators and audit,
 * 1800 routing.
 */

/** Severity of a log event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

type LogEvent = {readonly number: number; readonly level: LogLevel; readonly message: string};

/** Every event the program logs. */
export const logEvents = {
	// Process
	processStarted: {number: 1000, level: 'info', message: 'process started'},
	processReady: {number: 1001, level: 'info', message: 'ready for callers'},
	processDraining: {number: 1002, level: 'info', message: 'draining before exit'},
	processStopped: {number: 1003, level: 'info', message: 'process stopped'},
	invariantViolated: {number: 1004, level: 'error', message: 'an invariant did not hold'},
	// Callers
	// Endpoints and homes
	// Peers and membership
	// Groups and promotion
	// Configuration
	// Platform
	// Operators and audit
	// Routing
} as const satisfies Record<string, LogEvent>;
