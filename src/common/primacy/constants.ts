/**
 * Options for tracking and replacing the primary of a group, in one table. Every time is in
 * milliseconds.
 */

/** Default options of the primacy module. */
export const primacyDefaults = {
	/**
	 * Lease duration: how long a replica's report that it follows a term and is not fenced proves
	 * that no later term has begun. A promoter fences every replica and then waits this long, so the
	 * duration is part of every failover gap. Several polls fit into it, so that one lost response is
	 * harmless.
	 */
	leaseMs: 900,
	/** Time between two status requests that renew a lease. */
	leasePollMs: 250,
	/**
	 * Time between two rounds of such requests while all replicas have to respond for a proof. A round sends
	 * one to each replica then, and so is less frequent; one that is lost can still be repeated before the
	 * chain of proofs breaks.
	 */
	allReplicasPollMs: 500,
	/** Timeout of one status request to an endpoint, which may be queued behind statements. */
	statusTimeoutMs: 350,
	/**
	 * Time for which a node relies on what it knows of the registered replicas, after that was last proved to
	 * be complete, and for which an endpoint has to be registered before it is promoted while a node may not
	 * count it. Longer than two long polls of the registrations and a lease, since a proof is dated by the
	 * beginning of a long poll: a node that reaches the store always has a newer one.
	 */
	registrationsTrustMs: 5500,
	/** Maximum time that a statement waits for a lease when none is valid. */
	leaseWaitMs: 350,
	/** Maximum time that the acknowledgement of a commit waits for a lease; without one the outcome is unknown. */
	acknowledgementWaitMs: 500,
	/**
	 * Maximum time that the response to a write is held until a replica has received the write: a
	 * promotion never skips a replica that has received it. A replica responds within 2 to 5 ms, or later when
	 * the request is queued behind statements.
	 */
	confirmationWaitMs: 40,
	/** Time for which writes are acknowledged without that wait after one such wait has timed out. */
	confirmationPauseMs: 500,
	/** The primary is polled for its position when no response has carried one for this long. */
	sampleEveryMs: 900,
	/** Minimum time between two retained position samples. */
	sampleSpacingMs: 20,
	/** Position samples older than this are dropped; above the largest staleness that routes allow. */
	sampleKeptMs: 6000,
	/**
	 * Safety margin subtracted from the allowed staleness, for the time between a statement's arrival
	 * and its sending.
	 */
	ageMarginMs: 30,
	/**
	 * Difference between the progress of the steady and the wall clock that counts as a suspension;
	 * drift stays far below it.
	 */
	suspensionMs: 100,
	/** Time without statements after which a group is no longer polled. */
	idleAfterMs: 5000,
	/** Time between two polls of a group without a known primary. */
	searchMs: 100,

	/**
	 * The primary's status is requested when nothing was received from it for this long, and at once
	 * after a failed attempt.
	 */
	primaryCheckMs: 400,
	/**
	 * A node that is asked for its opinion of a primary polls the primary first when it last heard
	 * from it longer ago than this.
	 */
	opinionFreshMs: 100,
	/** Timeout of that poll; shorter than the requesting node waits for the opinion. */
	opinionLookMs: 200,
	/** Number of refused connection attempts, with no response in between, after which the primary counts as crashed. */
	crashRefusals: 2,
	/**
	 * Silence after which the primary counts as lost, unless another node still hears from it; a
	 * false alarm costs a promotion, about a second. Longer than the timeout of one status request
	 * (350 ms) plus the 100 ms until the next one.
	 */
	silentAfterMs: 600,
	/**
	 * Silence after which a primary is replaced even though most other nodes cannot be reached. This
	 * is safe: nodes that still reach the primary get no proofs once every replica is fenced, so the
	 * only risk is a needless change of primary. Twice `silentAfterMs`; with 3 s, a group whose
	 * primary was partitioned from half of the nodes refused statements for 4 s.
	 */
	silentAloneAfterMs: 1200,
	/** Time without any primary, while endpoints respond, after which a replica is promoted. */
	vacantAfterMs: 600,
	/** Delay per rank between the nodes that detect the same loss, so that they act one after the other. */
	staggerMs: 150,

	/**
	 * Lease duration of a promotion duty: after its holder used it, no other node can acquire it for
	 * this long on the store's clock. The platform does not publish its own bound; this is above its
	 * window for stable machines.
	 */
	dutyLeaseMs: 5000,
	/** Minimum time between a promotion order and its effect; the platform specifies a few hundred milliseconds. */
	promotionMinimumMs: 100,
	/**
	 * Maximum time to wait for a promotion to take effect, which takes some hundred milliseconds at
	 * least and usually about a second.
	 */
	promotionTimeoutMs: 2500,
	/** Time between two status requests that check whether a promotion has taken effect. */
	promotionPollMs: 50,
	/** Maximum time to wait until a replica has caught up with a primary that stepped down. */
	handOverMs: 400,
	/** Time between a failed promotion and the next attempt. */
	promotionRetryMs: 500,
	/**
	 * Time between two checks whether a promotion may have begun without fencing a returned replica;
	 * doubles up to the maximum below.
	 */
	returnLookMs: 400,
	longestReturnLookMs: 5000,
	/**
	 * Time between two store reads that check whether a term is being replaced, while a proof
	 * waits for the result; doubles up to the maximum below. A promotion takes one to two seconds,
	 * and its end is announced.
	 */
	replacementLookMs: 200,
	longestReplacementLookMs: 1000,
	/**
	 * Maximum time between recording an order in the store and sending it: a host that was paused in
	 * between must not send it.
	 */
	orderFreshMs: 1000,
	/** A fence that has been in place for this long was left by a promoter that stopped half-way, and is removed. */
	orphanedFenceMs: 4000,
} as const;

/** Configurable options of the primacy module. */
export type PrimacyOptions = {readonly [Name in keyof typeof primacyDefaults]: number};

/**
 * Time in milliseconds to wait, after all replicas are fenced, before a promotion may be ordered
 * without notifying every node: leases granted before the fences have then expired by the time the
 * promotion takes effect. Proofs further apart than this do not form a chain, since a promotion may
 * lie between them.
 */
export function leaseExpiryWaitMs({leaseMs, promotionMinimumMs}: PrimacyOptions): number {
	return leaseMs - promotionMinimumMs;
}
