/**
 * Shares service time evenly among keys: the waiting key with the least attained service is next.
 *
 * Start-time fair queueing: a key that returns after an idle period starts at the current
 * virtual time, so that no key accumulates credit while it is idle.
 */

type Account = {
	/** Service attained, in milliseconds of virtual time. */
	attainedMs: number;
	waiting: number;
};

/** Service accounts of a set of keys. */
export class FairShare<Key> {
	private readonly _accounts = new Map<Key, Account>();
	private _virtualTimeMs = 0;

	/** Records that one more piece of work waits under a key. */
	add(key: Key): void {
		const account = this._accounts.get(key);
		if (!account) {
			this._accounts.set(key, {attainedMs: this._virtualTimeMs, waiting: 1});
			return;
		}

		if (account.waiting === 0) {
			account.attainedMs = Math.max(account.attainedMs, this._virtualTimeMs);
		}

		account.waiting += 1;
	}

	/** Records that one piece of work no longer waits under a key. */
	remove(key: Key): void {
		const account = this._accounts.get(key);
		if (account) {
			account.waiting -= 1;
			this._dropIfSettled(key, account);
		}
	}

	/** Returns the waiting key with the least attained service for which `isEligible` is true. */
	next(isEligible: (key: Key) => boolean = () => true): Key | undefined {
		let best: Key | undefined;
		let bestMs = Number.POSITIVE_INFINITY;
		for (const [key, account] of this._accounts) {
			if (account.waiting > 0 && account.attainedMs < bestMs && isEligible(key)) {
				best = key;
				bestMs = account.attainedMs;
			}
		}

		return best;
	}

	/** Service that a key has attained beyond the waiting key with the least, in milliseconds; zero for a key without an account. */
	leadMs(key: Key): number {
		const account = this._accounts.get(key);
		return account ? Math.max(0, account.attainedMs - this._leastAttainedMs()) : 0;
	}

	/** Charges a key for service, in milliseconds; a negative amount refunds an overcharge. */
	charge(key: Key, serviceMs: number): void {
		const account = this._accounts.get(key);
		if (!account) {
			return;
		}

		account.attainedMs += serviceMs;
		this._dropIfSettled(key, account);
	}

	/** Advances virtual time to the attained service of the key that is served now, and charges it the expected service time. */
	serve(key: Key, expectedMs: number): void {
		const account = this._accounts.get(key);
		if (account) {
			this._virtualTimeMs = Math.max(this._virtualTimeMs, account.attainedMs);
			account.attainedMs += expectedMs;
		}
	}

	/** Drops the accounts of idle keys whose attained service virtual time has reached. */
	prune(): void {
		for (const [key, account] of this._accounts) {
			this._dropIfSettled(key, account);
		}
	}

	private _leastAttainedMs(): number {
		let leastMs = Number.POSITIVE_INFINITY;
		for (const {waiting, attainedMs} of this._accounts.values()) {
			leastMs = waiting > 0 ? Math.min(leastMs, attainedMs) : leastMs;
		}

		return leastMs;
	}

	private _dropIfSettled(key: Key, account: Account): void {
		if (account.waiting === 0 && account.attainedMs <= this._virtualTimeMs) {
			this._accounts.delete(key);
		}
	}
}
