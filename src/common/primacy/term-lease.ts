/**
 * The lease on a term: the proof that the term has not been replaced, and until when it is valid.
 *
 * A promoter writes into the store that it replaces a term, fences every replica, notifies every
 * registered node or waits until their leases have expired, and only then sends the order. From the
 * order on, a fence may end (by the promotion's effect, by a node that resumes a replica, or by a
 * replica's restart), and a replica that has not heard of the new term can then prove the old one
 * again. A replica's report therefore counts only as the continuation of an unbroken chain: it was
 * requested within `chainMs` of the proof before it, or of a check at which the store showed that no
 * replacement of the term had begun, and its response arrived within that time. When a promotion is
 * ordered, the last link of a node that was not notified is older than `chainMs`; a node that was
 * notified accepts no proof until it has a check of the store that is newer than the notice.
 *
 * A check of the store is itself a proof, as good as a replica's: a promoter that begins after the
 * check also fences after it.
 */
import type {Clock} from '../services/services.js';
import type {LeaseProof} from './lease-proof.js';

type LeaseTimes = {
	/** How long a proof is valid. */
	readonly leaseMs: number;
	/** Maximum time between two links of a chain of proofs; no promoter sends an order before it has passed. */
	readonly chainMs: number;
};

/** Result of a check in the store for a replacement of a group's primary. */
export type ReplacementCheck = {
	/** Highest term whose replacement has begun; zero if there is none. */
	readonly begunTerm: number;
	/** When the request was sent, on this node's clock. */
	readonly checkedAtMs: number;
	/** The store's version at its response, if known. */
	readonly version?: number;
};

/** Holds the newest proof of one term and decides which proofs count. */
export class TermLease {
	private readonly _clock: Clock;
	private readonly _times: LeaseTimes;
	private _term = 0;
	private _provedAtMs = Number.NEGATIVE_INFINITY;
	private _check: ReplacementCheck | undefined;
	/** Highest term whose proofs a promoter's notice invalidated, and when the last notice arrived. */
	private _invalidatedTerm = 0;
	private _invalidatedAtMs = Number.NEGATIVE_INFINITY;
	/** Links from before this time don't count, because the machine was suspended after them. */
	private _chainFromMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, times: LeaseTimes) {
		this._clock = clock;
		this._times = times;
	}

	/** When the request was sent whose response proved the term; minus infinity without a proof. */
	get provedAtMs(): number {
		return this._provedAtMs;
	}

	/** The newest check of the store, which is passed to other nodes; undefined without one. */
	get check(): ReplacementCheck | undefined {
		return this._check;
	}

	/** Highest term whose replacement has begun according to the store or promoters; zero if there is none. */
	get begunTerm(): number {
		const isInvalidationCleared = this._uncontestedAtMs(this._invalidatedTerm) > this._invalidatedAtMs;
		return Math.max(this._check?.begunTerm ?? 0, isInvalidationCleared ? 0 : this._invalidatedTerm);
	}

	/** Returns the age of the proof of a term in milliseconds; undefined without a proof of this term. */
	provedAgoMs(term: number): number | undefined {
		const isProved = this._term === term && Number.isFinite(this._provedAtMs);
		return isProved ? this._clock.nowMs() - this._provedAtMs : undefined;
	}

	/** Returns whether the lease on a term is valid at a time. */
	isValidAt(term: number | undefined, atMs: number): boolean {
		return this._term === term && atMs < this._provedAtMs + this._times.leaseMs;
	}

	/**
	 * Applies a proof and returns whether it counts; if not, a check of the store may be needed
	 * first. A replica's proof has to continue a chain. A peer's proof did so when the peer granted
	 * it.
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

	/**
	 * Invalidates proofs of a term; later ones count only after a check of the store shows that the
	 * term is not being replaced.
	 */
	invalidate(term: number): void {
		this._invalidatedTerm = Math.max(this._invalidatedTerm, term);
		this._invalidatedAtMs = this._clock.nowMs();
		if (this._term <= term) {
			this.revoke();
		}
	}

	/** Applies a check of the store and returns whether it is the newest. */
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

	/** Discards the proof. */
	revoke(): void {
		this._provedAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Discards all earlier links and checks after a suspension of the machine. */
	breakChain(): void {
		this._chainFromMs = this._clock.nowMs();
		this._check = undefined;
		this.revoke();
	}

	/** Returns when the latest check showed that no replacement of the term had begun; minus infinity if it did not. */
	private _uncontestedAtMs(term: number): number {
		return this._check && this._check.begunTerm < term ? this._check.checkedAtMs : Number.NEGATIVE_INFINITY;
	}

	private _isInvalidated(term: number): boolean {
		const clearedAtMs = this._uncontestedAtMs(term);
		return !Number.isFinite(clearedAtMs) || (term <= this._invalidatedTerm && clearedAtMs <= this._invalidatedAtMs);
	}

	/**
	 * Whether a replica's proof continues the chain. The arrival of the response counts, not only the
	 * request: the replica may have received the request while it was fenced, and have responded
	 * after that.
	 */
	private _continuesChain(term: number, provedAtMs: number): boolean {
		const linkMs = Math.max(this._uncontestedAtMs(term), this._term === term ? this._provedAtMs : Number.NEGATIVE_INFINITY);
		return linkMs >= this._chainFromMs && Math.max(this._clock.nowMs(), provedAtMs) - linkMs < this._times.chainMs;
	}
}
