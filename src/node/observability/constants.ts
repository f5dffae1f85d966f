/**
 * Defaults of logs and metrics.
 */
import type {LogLevel} from '../../common/observability/log-events.js';

/** Severities in order; an event is logged when its rank is at least the threshold's. */
export const levelRanks = {
	debug: 0, info: 1, warn: 2, error: 3,
} as const satisfies Record<LogLevel, number>;

/** Maximum length of a text in a log line; a caller may send names of 1 MiB. */
export const maximumTextCharacters = 1000;

/** Prefix of the name of every exported metric. */
export const metricPrefix = 'quetzalstream_';

/** Histogram buckets by the unit that a metric's name ends in. */
export const bucketsByUnit = new Map<string, number[]>([
	['Ms', [0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000]],
	['Seconds', [0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 2, 5, 10, 30, 60, 300]],
	['Bytes', [64, 256, 1024, 4096, 16_384, 65_536, 262_144, 1_048_576, 16_777_216]],
]);

/** Sampling interval of the event-loop delay; it is long, since each sample wakes the process, even an idle one. */
export const eventLoopSampleMs = 250;

/** Histogram buckets of metrics whose name ends in no known unit, which are counts. */
export const countBuckets = [0, 1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144];
