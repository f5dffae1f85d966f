/**
 * A proof of a term and where it comes from, which decides what it must continue (`TermLease`),
 * and how logs name it.
 */

/** Who gave a proof. */
export type ProofOrigin = {
	/** A replica; a peer, whose overview carried it; or the store. */
	readonly kind: 'endpoint' | 'peer' | 'store';
	/** Id of the endpoint, name of the peer, or `store`. */
	readonly name: string;
};

/** A proof of a term, granted or not. */
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
