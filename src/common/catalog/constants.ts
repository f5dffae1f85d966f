/**
 * Options for following tables of the store, in one table. Every time is in milliseconds.
 */

/** Default options for following tables. */
export const catalogDefaults = {
	/**
	 * Maximum wait of one long poll for changes. Shorter than the 3 s within which a change of the
	 * configuration must be in force, so that a stalled connection is detected in time.
	 */
	followWaitMs: 2000,
	/**
	 * The same for the registrations of nodes: a node that starts or leaves also sends a notice to
	 * the nodes that use it.
	 */
	followNodesWaitMs: 5000,
	/**
	 * The same where revoked keys must be rejected within a bound: a proof of freshness dates from
	 * its request, so it is as old as this wait when the response arrives.
	 */
	provingWaitMs: 1000,
	/** Share of the key revocation bound after which a proof of freshness is renewed at the store itself. */
	renewProofAtShare: 0.6,
	/** Minimum time between two such renewals by one node, since all nodes may renew at the same time. */
	renewProofEveryMs: 400,
	/**
	 * Maximum time that a statement waits for such a renewal; the store responds in 4 ms, or in some
	 * 250 ms when it is slow.
	 */
	provingTimeoutMs: 300,
	/**
	 * Part of that time in which other nodes are asked before the store; a node of the same zone
	 * answers within a few milliseconds.
	 */
	provingAtPeersMs: 100,
	/** Part of the key revocation bound that is reserved for clock differences and for the transfer to the endpoint. */
	proofMarginMs: 500,
	/** Timeout of a probe; the store responds in 4 ms, or in some 250 ms when it is slow. */
	probeTimeoutMs: 450,
	/** Initial backoff after a failed request; doubles up to `longestRetryMs`. */
	retryMs: 50,
	/** Maximum backoff after failed requests; bounds the delay until a node follows a store that has recovered. */
	longestRetryMs: 400,
	/**
	 * Maximum backoff of a node of a large fleet before it reads a table again whose history the store
	 * has dropped once more. Each such read of a store that keeps no history is followed by a request
	 * that shows this, so with 400 ms and a new start of the backoff after each read three nodes made
	 * 340 calls a second. A change is known after this time and the pauses of two nodes, well within
	 * the 3 s within which it must be in force.
	 */
	longestHistoryRetryMs: 1000,
	/** Share by which that backoff varies at random, so that the nodes that read the table do not do so at the same time. */
	retryJitterShare: 0.1,
	/**
	 * A table whose last proof of freshness is older than this is read again before a database or a
	 * key counts as unknown. Changes normally arrive through the pending long poll; this covers a
	 * stalled connection, well before the 3 s within which a change must be in force.
	 */
	freshEnoughMs: 2000,
	/** Maximum time that a caller waits for a configuration that may contain its database or key. */
	unknownDatabaseWaitMs: 600,
	/**
	 * Time for which endpoints that are missing from the table are kept after the store was
	 * unavailable: endpoints that are alive register again within about two seconds.
	 */
	returnGraceMs: 3000,
	/**
	 * Time for which an endpoint is assumed to be possibly alive after its registration lapsed: a
	 * promotion fences it as well if it responds. Known partitions that hide an endpoint from the
	 * store last up to 6 s.
	 */
	lapsedForMs: 15_000,
	/**
	 * Number of removed rows that are retained for nodes that request changes, about 300 B each; more
	 * than are removed during one request of about a second. A node that requests changes from before
	 * the retained ones reads the whole table again.
	 */
	keptRemovals: 500,
	/**
	 * Number of reads of the whole table for which is known which versions lie between them; a store that
	 * keeps no history is read about once a second. A node that requests changes from before the earliest
	 * one reads the whole table again.
	 */
	rememberedReads: 30,
	/**
	 * Number of endpoints whose last start is remembered: those of the largest deployment, some
	 * 2,600, and as many that are gone; about 200 B each.
	 */
	rememberedStarts: 5000,
} as const;

/** Configurable options for following tables. */
export type CatalogOptions = {readonly [Name in keyof typeof catalogDefaults]: number};
