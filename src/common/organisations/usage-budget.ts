/**
 * Token bucket that limits the operations of an organisation.
 */

/** Rate and capacity of a budget. */
export type BudgetSize = {
	/** Operations that are added per second. */
	readonly perS: number;
	/** Maximum number of operations that it holds. */
	readonly capacity: number;
};

const msPerS = 1000;

/** Gives out, in any span of time, at most its capacity plus what was added during the span. */
export class UsageBudget {
	private _size: BudgetSize;
	private _remaining: number;
	private _refilledAtMs: number;

	constructor(size: BudgetSize, left: number, nowMs: number) {
		this._size = size;
		this._remaining = Math.min(left, size.capacity);
		this._refilledAtMs = nowMs;
	}

	/** Applies a changed limit; operations beyond the new capacity are lost. */
	resize(size: BudgetSize, nowMs: number): void {
		this._refill(nowMs);
		this._size = size;
		this._remaining = Math.min(this._remaining, size.capacity);
	}

	/** Adds nothing for the time before a moment: another node may have given out what was due then. */
	skipRefillUntil(timeMs: number): void {
		this._refilledAtMs = Math.max(this._refilledAtMs, timeMs);
	}

	/** Takes one operation; returns zero on success, otherwise the time in milliseconds until one is available. */
	take(nowMs: number): number {
		this._refill(nowMs);
		if (this._remaining >= 1) {
			this._remaining -= 1;
			return 0;
		}

		const {perS, capacity} = this._size;
		return perS > 0 && capacity >= 1 ? (1 - this._remaining) / perS * msPerS : Number.POSITIVE_INFINITY;
	}

	/** Takes a share of the remaining operations and returns their whole number; at least one if there is one. */
	takeShare(share: number, nowMs: number): number {
		this._refill(nowMs);
		const taken = this._remaining >= 1 ? Math.max(1, Math.floor(this._remaining * share)) : 0;
		this._remaining -= taken;
		return taken;
	}

	/** Adds operations that another budget lent; those beyond the capacity are lost. */
	add(operations: number): void {
		this._remaining = Math.min(this._size.capacity, this._remaining + operations);
	}

	private _refill(nowMs: number): void {
		const passedMs = Math.max(0, nowMs - this._refilledAtMs);
		this._remaining = Math.min(this._size.capacity, this._remaining + (this._size.perS * passedMs / msPerS));
		this._refilledAtMs = nowMs;
	}
}
