/**
 * Default options of organisations' usage limits. Times are in milliseconds.
 */

/** Default options of usage limits. */
export const usageDefaults = {
	/** Timeout of a request to the holder of a budget; the same as for other unary requests to a peer. */
	askTimeoutMs: 200,
	/** Maximum number of the zone's nodes that are asked, one after the other, before an operation is refused. */
	holdersTried: 2,
	/** Retry delay that is reported to the caller when an operation is refused because no holder answered. */
	unansweredRetryMs: 250,
	/** Timeout for the initial peer discovery of a node that has just started: until it knows its peers, it would consider itself the holder of every budget. */
	lookTimeoutMs: 300,
	/**
	 * Share of the rule's tolerance beyond rate and burst that budgets may give out. The rest covers the
	 * time in which a node takes a budget over while the previous holder still grants operations.
	 */
	toleranceShare: 0.7,
	/** Minimum number of operations in a budget when the first-choice holder creates it. */
	initialOperations: 1,
	/** Share of a zone's remaining budget that it lends, per request, to a zone whose own budget is empty. */
	loanShare: 0.5,
	/** Time for which a zone that had nothing to lend is not asked again for that organisation. */
	loanRetryMs: 250,
	/** Time for which a zone that did not answer is not asked for loans. */
	silentZoneMs: 2000,
	/**
	 * Time without an answer after which a holder counts as lost and another node may take its place,
	 * counted from the first of the requests that got none. Two requests fit into it, so that one late
	 * answer on a busy link is not mistaken for a lost node.
	 */
	holderLostAfterMs: 400,
	/** Time between two unanswered requests after which the earlier one is forgotten. */
	silenceForgottenMs: 2000,
	/** Interval at which a stand-in asks the preferred holders again, so that it ends as soon as one of them is back. */
	recheckHolderMs: 250,
	/** Time without contact to any other node after which this node grants nothing: it may be partitioned from all others. */
	touchMs: 550,
	/**
	 * Time after which a node stands in for a first-choice holder that does not answer. It is longer
	 * than a node takes to notice that it is partitioned, so that a partitioned node never stands in.
	 */
	standInAfterMs: 600,
	/** Time without a request after which a stand-in's budget expires, or that of a first-choice holder if the membership has changed since. */
	standInKeptMs: 2000,
} as const;

/** Options of usage limits, with every value set. */
export type UsageOptions = {readonly [Name in keyof typeof usageDefaults]: number};
