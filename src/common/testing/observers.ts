/**
 * Log and metrics for tests.
 */
import type {Log, LogEventName, Metrics} from '../services/services.js';

/** Keeps the names of the events. */
export class RecordingLog implements Log {
	readonly names: LogEventName[] = [];

	event(name: LogEventName): void {
		this.names.push(name);
	}
}

/** Does nothing with what it is given. */
function ignore(): void {
	// Tests that need the numbers keep their own.
}

/** Keeps nothing. */
export const silentMetrics: Metrics = {count: ignore, gauge: ignore, observe: ignore};
