/**
 * Estimate of the time by which a replica lags behind its primary. Addresses reads that need a recent
 * position: in a large fleet a node hears from a replica so rarely that the last known position is
 * nearly always too old to tell, while the lag stays similar from one statement to the next.
 *
 * Each position of the replica bounds the lag from both sides. The latest position of the primary that
 * it includes gives an upper bound, and the earliest that it lacks gives a lower bound. The estimate
 * moves only as far as the bounds demand.
 */

/** When the primary reached positions around one of a replica; undefined where no such position is known. */
export type PrimaryTimes = {
	/** When the primary was at the latest known position that the replica includes. */
	readonly includedAtMs: number | undefined;
	/** When the primary was at the earliest known position that the replica lacks. */
	readonly missedAtMs: number | undefined;
};

/**
 * Share of the lag beyond it for which a position still counts as missing. The lag of a replica that
 * receives nothing grows with time, and the estimate grows only when the replica is heard from again.
 */
const growthShare = 0.25;

/** Least time beyond the lag for which a position still counts as missing. */
const marginMs = 10;

/** Whether a replica of a lag probably lacks a position that the primary reached `reachedForMs` ago. */
export function isProbablyMissing(lagMs: number, reachedForMs: number): boolean {
	return lagMs > 0 && reachedForMs < lagMs + Math.max(marginMs, lagMs * growthShare);
}

/** Estimates the lag of one replica. */
export class ReplicationLag {
	private _lagMs = 0;
	private _updatedAtMs = Number.NEGATIVE_INFINITY;

	/** The estimate in milliseconds; undefined if the last position is older than `maximumAgeMs`. */
	lagMs(nowMs: number, maximumAgeMs: number): number | undefined {
		return nowMs - this._updatedAtMs <= maximumAgeMs ? this._lagMs : undefined;
	}

	/** Records the times around a position that the replica had applied at a moment. */
	note({includedAtMs, missedAtMs}: PrimaryTimes, nowMs: number): void {
		if (includedAtMs === undefined && missedAtMs === undefined) {
			return;
		}

		const atMost = includedAtMs === undefined ? Number.POSITIVE_INFINITY : nowMs - includedAtMs;
		const atLeast = missedAtMs === undefined ? 0 : nowMs - missedAtMs;
		this._lagMs = Math.max(0, atLeast, Math.min(atMost, this._lagMs));
		this._updatedAtMs = nowMs;
	}
}
