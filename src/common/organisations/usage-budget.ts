/**
 * How many operations of an organisation may run: a token bucket.
 */

/** What a budget is made of. */
export type BudgetSize = {
	/** Operations that are added in a second. */
	readonly perS: number;
	/** Operations that it holds at the most. */
	readonly capacity: number;
};

const msPerS = 1000;

/** In any span of time it gives out at most its capacity and what was added meanwhile. */
export class UsageBudget {
	private _size: BudgetSize;
	private _remaining: number;
	private _refilledAtMs: number;

	constructor(size: BudgetSize, left: number, nowMs: number) {
		this._size = size;
		this._remaining = Math.min(left, size.capacity);
		this._refilledAtMs = nowMs;
	}

	/** Follows a change of the limit; what is left beyond a lower one is lost. */
	resize(size: BudgetSize, nowMs: number): void {
		this._refill(nowMs);
		this._size = size;
		this._remaining = Math.min(this._remaining, size.capacity);
	}

	/** Takes one operation; returns zero, or the time in milliseconds until there will be one. */
	take(nowMs: number): number {
		this._refill(nowMs);
		if (this._remaining >= 1) {
			this._remaining -= 1;
			return 0;
		}

		const {perS, capacity} = this._size;
		return perS > 0 && capacity >= 1 ? (1 - this._remaining) / perS * msPerS : Number.POSITIVE_INFINITY;
	}

	/** Takes a share of what is left, in whole operations; one at least where there is one. */
	takeShare(share: number, nowMs: number): number {
		this._refill(nowMs);
		const taken = this._remaining >= 1 ? Math.max(1, Math.floor(this._remaining * share)) : 0;
		this._remaining -= taken;
		return taken;
	}

	/** Adds operations that another budget gave out; what it cannot hold is lost. */
	add(operations: number): void {
		this._remaining = Math.min(this._size.capacity, this._remaining + operations);
	}

	private _refill(nowMs: number): void {
		const passedMs = Math.max(0, nowMs - this._refilledAtMs);
		this._remaining = Math.min(this._size.capacity, this._remaining + (this._size.perS * passedMs / msPerS));
		this._refilledAtMs = nowMs;
	}
}
