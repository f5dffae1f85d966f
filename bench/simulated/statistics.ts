/**
 * Percentiles of small samples, which a histogram would only blur.
 */

/** The value that a share of the samples does not exceed; not a number without samples. */
export function percentile(samples: readonly number[], share: number): number {
	const sorted = samples.toSorted((a, b) => a - b);
	const index = Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1);
	return sorted[Math.max(0, index)] ?? Number.NaN;
}
