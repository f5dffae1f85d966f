/**
 * Interfaces of the services that every module may use of its host: time, randomness, logs and metrics.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {logEvents} from '../observability/log-events.js';
import type {metrics} from '../observability/metric-names.js';

/** Monotonic time and timers. */
export type Clock = {
	/** Monotonic milliseconds with an arbitrary origin. */
	nowMs(): number;
	/** Wall-clock time for display and audit entries. Decisions use it only to compare how far it and the monotonic clock have advanced. */
	wallClockMs(): number;
	/** Calls back once after a delay. */
	setTimer(delayMs: number, callback: () => void): Disposable;
};

/** Seedable randomness. */
export type Random = {
	/** Uniform in [0, 1). */
	next(): number;
};

/** Structured, numbered log events. The numbers and names are in log-events.ts. */
export type Log = {
	event(name: LogEventName, fields?: Readonly<Record<string, unknown>>): void;
};
export type LogEventName = keyof typeof logEvents;

/** Counters, gauges and histograms of decisions. The names are in metric-names.ts. */
export type Metrics = {
	count(name: MetricName, labels?: Readonly<Record<string, string>>, by?: number): void;
	gauge(name: MetricName, value: number, labels?: Readonly<Record<string, string>>): void;
	observe(name: MetricName, value: number, labels?: Readonly<Record<string, string>>): void;
};
export type MetricName = keyof typeof metrics;
