/**
 * Durations and their percentiles.
 */

/** The sample below which the given share of the samples lies; NaN without samples. */
export function percentile(samples: readonly number[], share: number): number {
	const sorted = samples.toSorted((a, b) => a - b);
	return sorted.length === 0 ? Number.NaN : sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}

/** Milliseconds that an operation takes. */
export async function timeMs(operation: () => Promise<unknown>): Promise<number> {
	const startedAtMs = performance.now();
	await operation();
	return performance.now() - startedAtMs;
}

/** Formats the median and the 99th percentile as text. */
export function describeMs(samples: readonly number[]): string {
	return `p50 ${percentile(samples, 0.5).toFixed(2)} ms, p99 ${percentile(samples, 0.99).toFixed(2)} ms`;
}
