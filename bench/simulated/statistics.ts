/**
 * Exact percentiles of small sets of samples; a histogram would round them.
 */

/** The smallest sample that at least the given share of the samples does not exceed; NaN without samples. */
export function percentile(samples: readonly number[], share: number): number {
	const sorted = samples.toSorted((a, b) => a - b);
	const index = Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1);
	return sorted[Math.max(0, index)] ?? Number.NaN;
}
