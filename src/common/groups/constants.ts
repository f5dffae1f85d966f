/**
 * Default options of the group monitors. All times are in milliseconds.
 */

/** Default options of a group monitor. */
export const groupDefaults = {
	// Control connections
	/** Timeout for opening a control connection; a reachable endpoint takes about 10 ms. */
	connectTimeoutMs: 1000,
	/** First delay between two connection attempts; doubles up to `longestReconnectMs`, and half of it is random. */
	reconnectMs: 120,
	/** Maximum delay between two connection attempts, so that an instance that comes back is detected soon. */
	longestReconnectMs: 1000,
	/** A connection attempt that fails within this time counts as refused; one that fails later counts as unanswered. */
	refusedWithinMs: 300,
	/** Silence after which the primary is asked for its state. */
	primaryCheckMs: 200,
	/** Silence after which a replica is asked for its state; a little above its heartbeat interval of 500 ms. */
	replicaCheckMs: 700,
	/** Silence after which an instance no longer counts as reachable. */
	unreachableAfterMs: 1200,
	/** Silence after which a control connection is replaced: one whose network path was cut rarely recovers. */
	replaceSilentAfterMs: 5000,

	// Detection
	/** Silence of the primary after which peers are asked whether they hear from it; the status request sent after `primaryCheckMs` has gone unanswered by then. */
	suspectAfterMs: 350,
	/** Silence of the primary and of every node in its zone after which the zone counts as cut off or lost. */
	cutAfterMs: 800,
	/** Silence of the primary alone after which it counts as lost; pauses of up to 2 s must not cause a promotion. */
	frozenAfterMs: 2500,
	/** Connection attempts that must be refused before a closed connection counts as a crash. */
	crashRefusals: 2,
	/** Time after which a term that a majority promised, but that no instance leads, is replaced by a higher one. */
	vacantAfterMs: 600,
	/**
	 * Time after which a primary that is alive, but streams to too few replicas, is replaced.
	 * A replica reports the loss of its stream only after a timeout of its own, so this time
	 * comes on top of that one; it is longer than redirecting the replicas takes.
	 */
	isolatedAfterMs: 500,
	/** Time after which an instance that promised a term above the primary's is reintegrated by a promotion to a higher term. */
	strandedAfterMs: 2000,
	/** Interval between two evaluations of the loss rules while the primary is suspected. */
	suspicionTickMs: 25,
	/** Maximum interval between two evaluations of the loss rules while nothing is wrong. */
	quietTickMs: 250,
	/** Timeout for a peer's opinion on the primary. */
	opinionTimeoutMs: 200,
	/** A primary that was last heard from within this time counts as alive. */
	opinionFreshMs: 450,
	/** Delay before the instances are asked again when no majority of them answered. */
	majorityRetryMs: 300,
	/** Maximum number of nodes in the primary's zone that are probed in one round. */
	opinionHosts: 3,
	/** Delay of this process's own timer above which the process counts as having been paused. */
	pauseBoundMs: 250,

	// Promotion
	/** Monitors start promoting in the order of their rank, this far apart, so that two rarely claim a term at the same time. */
	staggerMs: 100,
	/** Maximum random delay that is added to the stagger. */
	staggerJitterMs: 30,
	/** Timeout for an instance's answer to a command. */
	orderTimeoutMs: 300,
	/** Grace period for the slower instances once a majority has accepted the term. */
	raiseGraceMs: 60,
	/** Number of times that a command is sent, the first included, while no answer arrives. */
	orderAttempts: 3,
	/** Attempts of one promotion before it fails and detection starts again. */
	promotionAttempts: 3,
	/** First delay after a failed promotion; doubles up to `longestPromotionBackoffMs`. */
	promotionBackoffMs: 200,
	/** Maximum delay after failed promotions, so that an unreachable majority does not cause a storm of attempts. */
	longestPromotionBackoffMs: 5000,

	// Ordered changes
	/** Maximum number of log entries that the wanted replica may lag behind the primary when the change starts. */
	closeLagEntries: 1000,
	/** Timeout for the wanted replica to catch up to within `closeLagEntries`. */
	catchUpTimeoutMs: 10_000,
	/** Timeout, after the old primary has stopped writing, for the wanted replica to receive the rest of its log. */
	finalCatchUpMs: 300,
	/** Time after which any monitor may carry out an ordered change that the responsible one has not completed. */
	orderedTakeoverMs: 3000,

	/** Interval between two checks while an ordered change is pending. */
	wantedTickMs: 50,
	/** Interval between two checks while no change is ordered; a new configuration is checked at once. */
	unwantedTickMs: 1000,

	// Followers
	/** Time after which monitors other than the promoter's redirect an instance that still follows an old primary. */
	redirectAfterMs: 150,
	/** Minimum time between two follow commands to the same instance. */
	redirectAgainMs: 1000,

	// Proofs of freshness
	/** Timeout for one round of a proof. */
	proofRoundMs: 400,
	/** Delay after a round that failed. */
	proofRetryMs: 25,
	/** Interval between two background proofs. */
	sampleEveryMs: 100,
	/** Background proofs stop when no caller has requested a proof or an age for this long. */
	sampleIdleMs: 2000,
	/** Number of the newest samples that remain when older ones are dropped; a sample with the same position as the last one replaces it. */
	samplesKept: 512,

	// Lifetime
	/** Idle time after which the monitor of a group is disposed if this node is the home of none of its endpoints. */
	unusedAfterMs: 30_000,
} as const;
