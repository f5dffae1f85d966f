/**
 * Options of what a node follows in the store, in one table. Every time is in milliseconds.
 */

/** Options of followed tables. */
export const catalogDefaults = {
	/**
	 * Longest wait of one question for changes. Below the 3 s within which a change of the
	 * configuration must be in force, so that a connection that fell silent is noticed in time.
	 */
	followWaitMs: 2000,
	/** The same for the registrations of nodes: who starts or leaves says so itself to those who use it. */
	followNodesWaitMs: 5000,
	/**
	 * The same where revoked keys must count no more within a time: a proof is dated by
	 * its question, so that it is as old as this wait when it comes.
	 */
	provingWaitMs: 1000,
	/** Share of that time after which a proof is renewed at the store itself. */
	renewProofAtShare: 0.6,
	/** Time between two such questions of one node, as all nodes may ask at once. */
	renewProofEveryMs: 400,
	/** Longest wait of a statement for such a question: the store takes 4 ms, and some 250 ms when it is slow. */
	provingTimeoutMs: 300,
	/** Part of the time that is left for clocks that differ and for the way to the endpoint. */
	proofMarginMs: 500,
	/** Longest wait for the answer to a probe: the store takes 4 ms, and some 250 ms when it is slow. */
	probeTimeoutMs: 450,
	/** First wait after a failed question; doubles up to the longest. */
	retryMs: 50,
	/** Longest wait after failed questions: bounds how late a node follows a store that is back. */
	longestRetryMs: 400,
	/**
	 * A table whose last answer is older is asked again before a database or a key counts as unknown.
	 * A change arrives over the question that waits; this is for one whose connection fell silent,
	 * well before the 3 s within which a change must be in force.
	 */
	freshEnoughMs: 2000,
	/** Longest wait of a caller for a configuration that may know its database. */
	unknownDatabaseWaitMs: 600,
	/**
	 * Time that endpoints which a read of the whole table does not show are kept after the store
	 * was away: endpoints that live register again within about two seconds.
	 */
	returnGraceMs: 3000,
	/**
	 * Time for which an endpoint whose registration went may still live: a promotion fences it as
	 * well if it answers. Cuts that hide one from the store last up to 6 s on the days that are known.
	 */
	lapsedForMs: 15_000,
	/**
	 * Removed rows that are kept for nodes which ask for changes, about 300 B each: more than the
	 * second of one question removes. A node that asks for earlier ones reads the table anew.
	 */
	keptRemovals: 500,
	/** Endpoints whose last start is remembered: those of the largest deployment, some 2,600, and as many that are gone; about 200 B each. */
	rememberedStarts: 5000,
} as const;

/** Options of followed tables, as they may be set. */
export type CatalogOptions = {readonly [Name in keyof typeof catalogDefaults]: number};
