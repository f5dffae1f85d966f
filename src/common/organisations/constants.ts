/**
 * Options of organisations' usage limits, in one table. Times are in milliseconds.
 */

/** Options of usage limits. */
export const usageDefaults = {
	/** Longest wait for the node that keeps a budget: as long as for other questions to a peer. */
	askTimeoutMs: 200,
	/** Nodes of the zone that are asked, one after the other, before an operation is refused. */
	holdersTried: 2,
	/** Time to come back after a refusal because no node that keeps budgets answered. */
	unansweredRetryMs: 250,
	/** Longest wait of a node that has just started for the list of the others: alone it would keep every budget. */
	lookTimeoutMs: 300,
	/**
	 * Share of what the rule tolerates beyond rate and burst that budgets give out. The rest is for
	 * a node that takes a budget over while the one before it still answers some.
	 */
	toleranceShare: 0.7,
	/** Operations with which a first choice begins to keep a budget at least. */
	initialOperations: 1,
	/** Share of a zone's budget that it lends at one time to a zone whose own is empty. */
	loanShare: 0.5,
	/** Time for which a zone that had nothing to lend is not asked again. */
	loanRetryMs: 250,
	/** Time for which a zone that did not answer is asked for no loan. */
	silentZoneMs: 2000,
	/** Time since another node was last heard after which this one gives nothing out: it may be cut off alone. */
	touchMs: 550,
	/**
	 * Time after which a node stands in for a first choice that does not answer. Longer than it takes
	 * a node to notice that it is cut off, so that such a one never does.
	 */
	standInAfterMs: 600,
	/** Time without a question after which a stand-in, or a first choice that may have changed meanwhile, begins anew. */
	standInKeptMs: 2000,
} as const;

/** Options of usage limits, as they may be set. */
export type UsageOptions = {readonly [Name in keyof typeof usageDefaults]: number};
