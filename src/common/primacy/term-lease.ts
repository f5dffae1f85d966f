/**
 * The proof that a term has not been replaced, and until when it counts.
 */
import type {Clock} from '../services/services.js';

type LeaseTimes = {
	/** How long a proof counts. */
	readonly leaseMs: number;
	/** How long a fence stands that nobody takes back. */
	readonly fenceMs: number;
};

/** The newest proof of one term. */
export class TermLease {
	private readonly _clock: Clock;
	private readonly _times: LeaseTimes;
	private _term = 0;
	private _provedAtMs = Number.NEGATIVE_INFINITY;
	private _fencedTerm = 0;
	private _fencedUntilMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, times: LeaseTimes) {
		this._clock = clock;
		this._times = times;
	}

	/** When the question was sent whose answer proved the term; minus infinity without a proof. */
	get provedAtMs(): number {
		return this._provedAtMs;
	}

	/** Time since that question; undefined without a proof of this term. */
	provedAgoMs(term: number): number | undefined {
		const isProved = this._term === term && Number.isFinite(this._provedAtMs);
		return isProved ? this._clock.nowMs() - this._provedAtMs : undefined;
	}

	/** Whether the term is proved to stand at a time. */
	covers(term: number | undefined, atMs: number): boolean {
		return this._term === term && atMs < this._provedAtMs + this._times.leaseMs;
	}

	/** Takes in a proof; resolves to whether it counts, which it does not while the term is fenced. */
	grant(term: number, provedAtMs: number): boolean {
		if (term <= this._fencedTerm && this._clock.nowMs() < this._fencedUntilMs) {
			return false;
		}

		this._term = term;
		this._provedAtMs = Math.max(this._provedAtMs, provedAtMs);
		return true;
	}

	/** Voids proofs of a term, those to come included, or takes them again. */
	fence(term: number, isFenced: boolean): void {
		if (isFenced) {
			this._fencedTerm = term;
			this._fencedUntilMs = this._clock.nowMs() + this._times.fenceMs;
			this.revoke();
		} else if (this._fencedTerm === term) {
			this._fencedTerm = 0;
		}
	}

	/** Forgets the proof. */
	revoke(): void {
		this._provedAtMs = Number.NEGATIVE_INFINITY;
	}
}
