/**
 * Limits how many statements of one caller are in progress on this node at the same time.
 */

/** Counts the statements in progress of each caller. */
export class CallerLimiter {
	private readonly _inProgress = new Map<string, number>();

	/** Counts a statement as in progress; returns false when the caller has reached its limit. */
	tryEnter(caller: string, maximumInProgress: number): boolean {
		const current = this._inProgress.get(caller) ?? 0;
		if (current >= maximumInProgress) {
			return false;
		}

		this._inProgress.set(caller, current + 1);
		return true;
	}

	/** Counts a statement of the caller as no longer in progress. */
	leave(caller: string): void {
		const current = this._inProgress.get(caller) ?? 0;
		if (current <= 1) {
			this._inProgress.delete(caller);
			return;
		}

		this._inProgress.set(caller, current - 1);
	}
}
