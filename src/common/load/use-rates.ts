/**
 * Rates of use of a set of keys, as counts that decay exponentially.
 */

type Count = {
	value: number;
	atMs: number;
};

/** Counts uses by key; a count halves in `halfLifeMs` without further uses. */
export class UseRates<Key> {
	private readonly _halfLifeMs: number;
	private readonly _counts = new Map<Key, Count>();

	constructor(halfLifeMs: number) {
		this._halfLifeMs = halfLifeMs;
	}

	/** Number of keys whose counts are kept. */
	get size(): number {
		return this._counts.size;
	}

	/** Counts one use of a key. */
	note(key: Key, nowMs: number): void {
		const value = this.of(key, nowMs) + 1;
		this._counts.set(key, {value, atMs: nowMs});
	}

	/** Decayed number of uses of a key; proportional to its rate. */
	of(key: Key, nowMs: number): number {
		const count = this._counts.get(key);
		return count ? count.value * (0.5 ** ((nowMs - count.atMs) / this._halfLifeMs)) : 0;
	}

	/** Drops the keys whose decayed count is below `least`. */
	prune(least: number, nowMs: number): void {
		for (const key of this._counts.keys()) {
			if (this.of(key, nowMs) < least) {
				this._counts.delete(key);
			}
		}
	}
}
