/**
 * Test doubles for logs and metrics.
 */
import type {Log, LogEventName, Metrics} from '../services/services.js';

/** Records the names of the logged events. */
export class RecordingLog implements Log {
	readonly names: LogEventName[] = [];

	event(name: LogEventName): void {
		this.names.push(name);
	}
}

/** Does nothing. */
function ignore(): void {
	// Tests that need the values use a test double of their own.
}

/** Metrics that record nothing. */
export const silentMetrics: Metrics = {count: ignore, gauge: ignore, observe: ignore};
