/**
 * Options of the membership with their defaults and the reasons for them.
 */

/** Defaults of `MembershipOptions`. */
export const membershipDefaults = {
	/** Minimum interval between two reads of the host list; the lag of the list is larger. */
	readIntervalMs: 5000,
	/**
	 * The read interval grows by this much per host, because an answer grows with the hosts. At some
	 * 390 bytes per host a node reads less than 2 KB a second, and all nodes together read at most
	 * 5 times a second.
	 */
	readIntervalPerHostMs: 200,
	/** Timeout of a read of the list, and of a registration. */
	readTimeoutMs: 2000,
	/** Number of reads per renewal of the registration: a write costs the platform more than a read. */
	readsPerRegistration: 3,
	/** Random variation of intervals as a share of them, so that hosts that start together do not read together. */
	jitter: 0.2,
	/** Number of consecutive reads without a host after which it counts as dropped; a single one may be an incomplete answer. */
	missedReadsToDrop: 2,
	/** Upper bound on the list's lag: for this long what a host reported itself takes precedence over the list. */
	listLagMs: 60_000,
	/** Number of consecutive failures after which a host is suspected; a single one may be a link that restarts. */
	failuresToSuspect: 2,
	/** First delay before a suspected host is tried again; it doubles up to `maximumRetryMs`. */
	firstRetryMs: 1000,
	maximumRetryMs: 15_000,
	/** Time after the last failure at which a suspicion expires. */
	maximumSuspicionMs: 60_000,
	/** Maximum number of homes that are cached between two changes of the membership. */
	maximumMemoisedHomes: 50_000,
};

/** Options of the membership; units are in the names. */
export type MembershipOptions = typeof membershipDefaults;

/** Maximum number of peers to which a node forwards a new version. */
export const fanOutDegree = 8;

/**
 * Factor by which the read interval must have grown since the last registration for a renewal at
 * once. A registration lasts for several of the renewal intervals that were known when it was made.
 */
export const renewalIntervalGrowth = 1.5;

/** Share of the read interval after which a failed registration is tried again. */
export const unregisteredIntervalShare = 0.1;
