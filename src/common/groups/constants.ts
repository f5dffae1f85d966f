/**
 * Defaults of the group monitors, in one table. Every time is in milliseconds.
 */

/** Options of a group monitor. */
export const groupDefaults = {
	// Control connections
	/** Longest wait for a control connection; a reachable endpoint takes about 10 ms. */
	connectTimeoutMs: 1000,
	/** First wait between two attempts to connect; doubles up to the longest, half of it random. */
	reconnectMs: 120,
	/** Longest wait between two attempts, so that a returning instance is seen soon. */
	longestReconnectMs: 1000,
	/** A failed attempt that came back this fast was refused; a slower one met silence. */
	refusedWithinMs: 300,
	/** The primary is asked for its state when it said nothing for this long. */
	primaryCheckMs: 200,
	/** The same for the others, a little above their heartbeat of 500 ms. */
	replicaCheckMs: 700,
	/** An instance that said nothing for this long does not count as reachable. */
	unreachableAfterMs: 1200,
	/** A control connection that was silent for this long is replaced; a cut one rarely recovers. */
	replaceSilentAfterMs: 5000,

	// Detection
	/** Silence of the primary after which peers are asked; three checks went unanswered. */
	suspectAfterMs: 350,
	/** Silence of the primary and of every node in its zone that means a cut or a lost zone. */
	cutAfterMs: 800,
	/** Silence of the primary alone that is taken as loss; pauses of up to 2 s must pass. */
	frozenAfterMs: 2500,
	/** Attempts to connect that must be refused before a closed connection means a crash. */
	crashRefusals: 2,
	/** A term that a majority promised but nobody leads is taken over after this time. */
	vacantAfterMs: 600,
	/**
	 * A primary that lives, but that too few replicas hear, is replaced after this time. The
	 * replicas themselves waited before they said so; orders to follow take less than this.
	 */
	isolatedAfterMs: 500,
	/** An instance that promised a term above the primary's is brought back after this time. */
	strandedAfterMs: 2000,
	/** Time between two looks at a suspected primary. */
	suspicionTickMs: 25,
	/** Time between two looks when nothing is wrong. */
	quietTickMs: 250,
	/** Longest wait for a peer's opinion. */
	opinionTimeoutMs: 200,
	/** A primary that a peer heard from within this time is alive. */
	opinionFreshMs: 450,
	/** Wait before a majority that did not answer is asked again. */
	majorityRetryMs: 300,
	/** Nodes of the primary's zone that are asked. */
	opinionHosts: 3,
	/** This node was paused when its own tick came this much too late. */
	pauseBoundMs: 250,

	// Promotion
	/** Monitors start one after the other by rank, this far apart, so that races are rare. */
	staggerMs: 100,
	/** Random part of the stagger. */
	staggerJitterMs: 30,
	/** Longest wait for an instance's answer to an order. */
	orderTimeoutMs: 300,
	/** Wait for the slower instances once a majority has accepted the term. */
	raiseGraceMs: 60,
	/** Times an order is repeated whose answer was lost. */
	orderAttempts: 3,
	/** Attempts of one promotion before detection starts again. */
	promotionAttempts: 3,
	/** Wait after a failed promotion; doubles up to the longest. */
	promotionBackoffMs: 200,
	/** Longest wait after failed promotions, so that an unreachable majority causes no storm. */
	longestPromotionBackoffMs: 5000,

	// Ordered changes
	/** Log entries that the wanted replica may lack when the change starts. */
	closeLagEntries: 1000,
	/** Longest wait for the wanted replica to come that close. */
	catchUpTimeoutMs: 10_000,
	/** Longest wait, after the old primary stopped writing, for the replica to have it all. */
	finalCatchUpMs: 300,
	/** Another monitor does an ordered change when the first has not for this long. */
	orderedTakeoverMs: 3000,

	/** Time between two looks at an ordered change that is not done. */
	wantedTickMs: 50,
	/** Time between two looks for an ordered change; a new configuration is looked at at once. */
	unwantedTickMs: 1000,

	// Followers
	/** An instance that follows an old primary is redirected by other monitors after this time. */
	redirectAfterMs: 150,
	/** Time between two orders to follow for the same instance. */
	redirectAgainMs: 1000,

	// Proofs of freshness
	/** Longest wait for one round of a proof. */
	proofRoundMs: 400,
	/** Wait after a round that failed. */
	proofRetryMs: 25,
	/** Time between two proofs in the background. */
	sampleEveryMs: 100,
	/** Background proofs end when nobody asked for this long. */
	sampleIdleMs: 2000,
	/** Samples kept; only those with different positions take a place. */
	samplesKept: 512,

	// Lifetime
	/** A monitor of a group that this node serves no endpoint of ends when unused for this long. */
	unusedAfterMs: 30_000,
} as const;
