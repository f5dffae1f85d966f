/**
 * The proof that a lease rests on, as logs name it. Nothing is decided by it: whether a term is
 * proved is kept apart, and a proof that no longer counts is remembered here.
 */

/** Who gave a proof. */
export type ProofOrigin = {
	/** A replica; a peer, whose overview carried it; or the store. */
	readonly kind: 'endpoint' | 'peer' | 'store';
	/** Id of the endpoint, or name of the peer. */
	readonly name: string;
};

/** A proof of a term that was granted. */
export type LeaseProof = {
	readonly term: number;
	/** When the question was sent whose answer proved the term. */
	readonly provedAtMs: number;
	readonly origin: ProofOrigin;
};

/** A proof as log events name it. */
export type ProofFields = {
	readonly source: string;
	readonly sourceKind: ProofOrigin['kind'];
	readonly provedAgoMs: number;
};

/** Fields of a proof at a time. */
export function proofFields({origin, provedAtMs}: LeaseProof, nowMs: number): ProofFields {
	return {source: origin.name, sourceKind: origin.kind, provedAgoMs: Math.round(nowMs - provedAtMs)};
}

/** Time between the questions of two proofs; undefined where they prove different terms. */
export function proofGapMs(before: LeaseProof | undefined, proof: LeaseProof): number | undefined {
	return before?.term === proof.term ? Math.round(proof.provedAtMs - before.provedAtMs) : undefined;
}
