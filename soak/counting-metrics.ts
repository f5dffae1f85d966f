/**
 * Metrics of a run, summed over its nodes.
 */
import type {MetricName, Metrics} from '../src/common/services/services.js';

/** Collects counters by name and labels, and every observed value by name. */
export class HistogramMetrics implements Metrics {
	readonly counters = new Map<string, number>();
	readonly values = new Map<MetricName, number[]>();

	count(name: MetricName, labels: Readonly<Record<string, string>> = {}, by = 1): void {
		const key = [name, ...Object.entries(labels).map(([label, value]) => `${label}=${value}`)].join(' ');
		this.counters.set(key, (this.counters.get(key) ?? 0) + by);
	}

	gauge(): void {
		// Gauges are not collected: the current values of several nodes have no meaningful sum.
	}

	observe(name: MetricName, value: number): void {
		const values = this.values.get(name);
		if (values) {
			values.push(value);
		} else {
			this.values.set(name, [value]);
		}
	}
}
