/**
 * Proofs of a term, their origin, and their log fields. The origin decides which earlier proof or
 * check a proof must continue (see `TermLease`).
 */

/** Where a proof comes from. */
export type ProofOrigin = {
	/** A replica's status, a peer's group overview, or the store. */
	readonly kind: 'endpoint' | 'peer' | 'store';
	/** Id of the endpoint, name of the peer, or `store`. */
	readonly name: string;
};

/** A proof that a term has not been replaced, whether or not the lease accepted it. */
export type LeaseProof = {
	readonly term: number;
	/** When the request was sent whose response proved the term. */
	readonly provedAtMs: number;
	readonly origin: ProofOrigin;
};

/** Log fields that describe a proof. */
export type ProofFields = {
	readonly source: string;
	readonly sourceKind: ProofOrigin['kind'];
	readonly provedAgoMs: number;
};

/** Returns the log fields of a proof, with its age at the given time in milliseconds. */
export function proofFields({origin, provedAtMs}: LeaseProof, nowMs: number): ProofFields {
	return {source: origin.name, sourceKind: origin.kind, provedAgoMs: Math.round(nowMs - provedAtMs)};
}

/** Returns the time in milliseconds between the requests of two proofs; undefined if they prove different terms. */
export function proofGapMs(before: LeaseProof | undefined, proof: LeaseProof): number | undefined {
	return before?.term === proof.term ? Math.round(proof.provedAtMs - before.provedAtMs) : undefined;
}
