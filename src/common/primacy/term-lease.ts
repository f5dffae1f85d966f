/**
 * The proof that a term has not been replaced, and until when it counts.
 *
 * A promoter writes into the store that it replaces a term, fences every replica, tells every
 * registered node or waits until their leases have run out, and orders. From the order on,
 * whatever ends a fence (the promotion's effect, a node that resumes a replica, a replica's
 * restart) lets a replica that has not heard of the new term prove the old one. So the word of
 * a replica counts only as the continuation of an unbroken chain: it was asked within `chainMs`
 * of the proof before it, or of a moment at which the store said that nobody had begun to
 * replace the term, and answered within that time. When a promotion is ordered, the last link of
 * a node that was not told is older than that; a node that was told takes no proof until the store's word is newer than
 * the notice. The store's word is a proof itself, as good as a replica's: whoever begins after it
 * fences after it.
 */
import type {Clock} from '../services/services.js';
import type {LeaseProof} from './lease-proof.js';

type LeaseTimes = {
	/** How long a proof counts. */
	readonly leaseMs: number;
	/** Longest time between two links of a chain of proofs; no promoter orders before it has passed. */
	readonly chainMs: number;
};

/** What the store said about the replacement of a group's primary. */
export type ReplacementCheck = {
	/** Highest term that somebody has begun to replace; zero for none. */
	readonly begunTerm: number;
	/** When the store was asked, on this node's clock. */
	readonly checkedAtMs: number;
	/** The store's version at its answer, where that is known. */
	readonly version?: number;
};

/** The newest proof of one term. */
export class TermLease {
	private readonly _clock: Clock;
	private readonly _times: LeaseTimes;
	private _term = 0;
	private _provedAtMs = Number.NEGATIVE_INFINITY;
	private _check: ReplacementCheck | undefined;
	/** Highest term of which this node was told that its proofs count no more, and when it was told last. */
	private _invalidatedTerm = 0;
	private _invalidatedAtMs = Number.NEGATIVE_INFINITY;
	/** Links from before this moment are none: the clock stood still since. */
	private _chainFromMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, times: LeaseTimes) {
		this._clock = clock;
		this._times = times;
	}

	/** When the question was sent whose answer proved the term; minus infinity without a proof. */
	get provedAtMs(): number {
		return this._provedAtMs;
	}

	/** The store's newest word, for other nodes. */
	get check(): ReplacementCheck | undefined {
		return this._check;
	}

	/** Highest term whose replacement has begun, as far as the store or promoters said; zero for none. */
	get begunTerm(): number {
		const isInvalidationCleared = this._uncontestedAtMs(this._invalidatedTerm) > this._invalidatedAtMs;
		return Math.max(this._check?.begunTerm ?? 0, isInvalidationCleared ? 0 : this._invalidatedTerm);
	}

	/** Time since that question; undefined without a proof of this term. */
	provedAgoMs(term: number): number | undefined {
		const isProved = this._term === term && Number.isFinite(this._provedAtMs);
		return isProved ? this._clock.nowMs() - this._provedAtMs : undefined;
	}

	/** Whether the term is proved to stand at a time. */
	isValidAt(term: number | undefined, atMs: number): boolean {
		return this._term === term && atMs < this._provedAtMs + this._times.leaseMs;
	}

	/**
	 * Takes in a proof; resolves to whether it counts, which may take the store's word first. A
	 * replica's word has to continue a chain. A peer's lease did so where it was granted.
	 */
	grant({term, provedAtMs, origin}: LeaseProof): boolean {
		const continuesChain = origin.kind === 'endpoint' ? this._continuesChain(term, provedAtMs) : provedAtMs >= this._chainFromMs;
		if (this._isInvalidated(term) || !continuesChain) {
			return false;
		}

		this._provedAtMs = this._term === term ? Math.max(this._provedAtMs, provedAtMs) : provedAtMs;
		this._term = term;
		return true;
	}

	/** Voids proofs of a term; those to come count only after the store has said that nobody replaces it. */
	invalidate(term: number): void {
		this._invalidatedTerm = Math.max(this._invalidatedTerm, term);
		this._invalidatedAtMs = this._clock.nowMs();
		if (this._term <= term) {
			this.revoke();
		}
	}

	/** Takes in the store's word; resolves to whether it is the newest. */
	noteCheck(check: ReplacementCheck): boolean {
		if (this._check && check.checkedAtMs < this._check.checkedAtMs) {
			return false;
		}

		this._check = check;
		if (check.begunTerm >= this._term) {
			this.revoke();
		}

		return true;
	}

	/** Forgets the proof. */
	revoke(): void {
		this._provedAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Forgets all that was measured so far: the clock stood still for a while. */
	breakChain(): void {
		this._chainFromMs = this._clock.nowMs();
		this._check = undefined;
		this.revoke();
	}

	/** When the store said last that nobody had begun to replace the term. */
	private _uncontestedAtMs(term: number): number {
		return this._check && this._check.begunTerm < term ? this._check.checkedAtMs : Number.NEGATIVE_INFINITY;
	}

	private _isInvalidated(term: number): boolean {
		const clearedAtMs = this._uncontestedAtMs(term);
		return !Number.isFinite(clearedAtMs) || (term <= this._invalidatedTerm && clearedAtMs <= this._invalidatedAtMs);
	}

	/** The answer's time counts: the replica may have been asked while it was fenced, and have answered after that. */
	private _continuesChain(term: number, provedAtMs: number): boolean {
		const linkMs = Math.max(this._uncontestedAtMs(term), this._term === term ? this._provedAtMs : Number.NEGATIVE_INFINITY);
		return linkMs >= this._chainFromMs && Math.max(this._clock.nowMs(), provedAtMs) - linkMs < this._times.chainMs;
	}
}
