/**
 * Durations and their percentiles.
 */

/** The value below which a share of the samples lies; NaN without samples. */
export function percentile(samples: readonly number[], share: number): number {
	const sorted = samples.toSorted((a, b) => a - b);
	return sorted.length === 0 ? Number.NaN : sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}

/** Milliseconds that an act takes. */
export async function timeMs(act: () => Promise<unknown>): Promise<number> {
	const startedAtMs = performance.now();
	await act();
	return performance.now() - startedAtMs;
}

/** Median and 99th percentile for people. */
export function describeMs(samples: readonly number[]): string {
	return `p50 ${percentile(samples, 0.5).toFixed(2)} ms, p99 ${percentile(samples, 0.99).toFixed(2)} ms`;
}
