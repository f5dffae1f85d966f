/**
 * Collects the metrics of metric-names.ts with prom-client.
 */
import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {metrics} from '../../common/observability/metric-names.js';
import type {MetricName, Metrics} from '../../common/services/services.js';
import {
	bucketsByUnit, countBuckets, eventLoopSampleMs, metricPrefix,
} from './constants.js';

type Definition = {
	readonly kind: 'counter' | 'gauge' | 'histogram';
	readonly help: string;
	readonly labels?: readonly string[];
};

/** Collects all metrics in a registry of its own. */
export class PromMetrics implements Metrics {
	private readonly _registry = new Registry();
	private readonly _counters = new Map<string, Counter>();
	private readonly _gauges = new Map<string, Gauge>();
	private readonly _histograms = new Map<string, Histogram>();

	/** Adds the labels to every metric; `withProcess` also collects the default metrics of the process. */
	constructor(labels: Readonly<Record<string, string>> = {}, options: {readonly withProcess?: boolean} = {}) {
		this._registry.setDefaultLabels(labels);
		for (const [name, definition] of Object.entries<Definition>(metrics)) {
			this._add(name, definition);
		}

		if (options.withProcess ?? true) {
			collectDefaultMetrics({register: this._registry, prefix: metricPrefix, eventLoopMonitoringPrecision: eventLoopSampleMs});
		}
	}

	/** Media type of `text()`. */
	get contentType(): string {
		return this._registry.contentType;
	}

	count(name: MetricName, labels: Readonly<Record<string, string>> = {}, by = 1): void {
		this._counters.get(name)?.inc(labels, by);
	}

	gauge(name: MetricName, value: number, labels: Readonly<Record<string, string>> = {}): void {
		this._gauges.get(name)?.set(labels, value);
	}

	observe(name: MetricName, value: number, labels: Readonly<Record<string, string>> = {}): void {
		this._histograms.get(name)?.observe(labels, value);
	}

	/** All metrics in the text exposition format of Prometheus. */
	async text(): Promise<string> {
		return this._registry.metrics();
	}

	/** Current values, as tests and the operators' page read them. */
	async values(name: MetricName): Promise<Array<{labels: Partial<Record<string, string | number>>; value: number}>> {
		const metric = this._registry.getSingleMetric(exportedName(name));
		const collected = await metric?.get();
		return collected?.values ?? [];
	}

	private _add(name: string, {kind, help, labels = []}: Definition): void {
		const options = {
			name: exportedName(name), help, labelNames: [...labels], registers: [this._registry],
		};
		const adders = {
			counter: () => this._counters.set(name, new Counter(options)),
			gauge: () => this._gauges.set(name, new Gauge(options)),
			histogram: () => this._histograms.set(name, new Histogram({...options, buckets: bucketsOf(name)})),
		} as const;
		adders[kind]();
	}
}

/** Name under which a metric is exported: prefixed, in snake case. */
export function exportedName(name: string): string {
	return metricPrefix + name.replaceAll(/[A-Z]/gv, letter => `_${letter.toLowerCase()}`);
}

function bucketsOf(name: string): number[] {
	const unit = [...bucketsByUnit.keys()].find(suffix => name.endsWith(suffix));
	return unit === undefined ? countBuckets : bucketsByUnit.get(unit)!;
}
