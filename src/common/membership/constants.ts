/**
 * Options of the membership with their defaults, and why.
 */

/** Defaults of `MembershipOptions`. */
export const membershipDefaults = {
	/** The host list is read this often; its lag is larger. */
	readIntervalMs: 5000,
	/**
	 * The interval grows with the hosts, because an answer does: at some 390 bytes a host a node
	 * reads less than 2 KB a second, and all of them together at most 5 times a second.
	 */
	readIntervalPerHostMs: 200,
	/** A read that has not answered after this time counts as failed. */
	readTimeoutMs: 2000,
	/** The registration is renewed with every so many reads: a write costs the platform more. */
	readsPerRegistration: 3,
	/** Intervals vary by this share, so that hosts that start together do not read together. */
	jitter: 0.2,
	/** Reads in a row that do not show a host before it counts as dropped; one may be an incomplete answer. */
	missedReadsToDrop: 2,
	/** Bound on the list's lag: for this long a host's own word goes before what the list shows, or does not show. */
	listLagMs: 60_000,
	/** Failures in a row after which a host is passed over; a single one may be a restart of a link. */
	failuresToSuspect: 2,
	/** First time after which a suspected host is tried again; doubles up to the largest. */
	firstRetryMs: 1000,
	maximumRetryMs: 15_000,
	/** A suspicion that nothing confirms any more ends by itself. */
	maximumSuspicionMs: 60_000,
	/** Homes that are remembered between two changes of the membership. */
	maximumMemoisedHomes: 50_000,
};

/** Options of the membership; units are in the names. */
export type MembershipOptions = typeof membershipDefaults;

/** Peers that a node passes a new version on to. */
export const fanOutDegree = 8;

/** Growth of the read interval at which a registration is renewed at once; it lasts for several times the interval between renewals. */
export const renewalIntervalGrowth = 1.5;

/** Share of the read interval after which a failed registration is repeated. */
export const unregisteredIntervalShare = 0.1;
