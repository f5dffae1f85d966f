/**
 * Bounds the statements of one caller that are in progress on this node.
 */

/** Counts statements in progress by caller. */
export class CallerLimiter {
	private readonly _inProgress = new Map<string, number>();

	/** Takes a place for a statement; false when the caller has as many as it may. */
	tryEnter(caller: string, maximumInProgress: number): boolean {
		const current = this._inProgress.get(caller) ?? 0;
		if (current >= maximumInProgress) {
			return false;
		}

		this._inProgress.set(caller, current + 1);
		return true;
	}

	/** Gives the place back. */
	leave(caller: string): void {
		const current = this._inProgress.get(caller) ?? 0;
		if (current <= 1) {
			this._inProgress.delete(caller);
			return;
		}

		this._inProgress.set(caller, current - 1);
	}
}
