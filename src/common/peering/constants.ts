/**
 * Options of the communication between nodes, in one table. Every time is in milliseconds.
 */

/** Table of the store that holds the nodes' registrations. */
export const nodeTable = 'nodes';

/** Options of peering. */
export const peeringDefaults = {
	/** Interval at which a node polls its coordinator; the same at which the coordinator polls endpoints. */
	shareEveryMs: 250,
	/**
	 * Interval at which the coordinator of a large fleet reads from the store which primaries are being
	 * replaced, since it passes that on to the other nodes. It is well within the 20 s of history that
	 * the store keeps; one call covers all groups.
	 */
	renewChecksMs: 8000,
	/** Timeout of a request for group overviews. A message from one zone to another takes about 2 ms. */
	overviewTimeoutMs: 200,
	/** Timeout of a request for a peer's opinion on a primary that this node cannot reach any more. */
	opinionTimeoutMs: 300,
	/** Timeout of a notice to a peer that a term is fenced. */
	fenceTimeoutMs: 200,
	/** First backoff after a peer did not answer: for this time it counts as unreachable. */
	passOverMs: 3000,
	/**
	 * Maximum of that backoff, which doubles while the peer does not answer. A node that starts again
	 * has a new incarnation, which ends the backoff.
	 */
	longestPassOverMs: 12_000,
	/**
	 * Time for which a node may go on serving after it announced that it leaves: the longest grace
	 * time, 6 s, and as much again in case its process was paused.
	 */
	leavingMs: 12_000,
	/** Timeout of the notice with which a node that starts announces itself to a peer. */
	joinTimeoutMs: 500,
	/**
	 * Delay between a node's registration and its next read of all registrations, after which it
	 * announces itself to the others in a small fleet. Opening a link to each takes some 40 ms of
	 * processor time, for which the first callers would wait.
	 */
	meetAfterMs: 250,
	/** First delay before a registration that failed is tried again; it doubles up to `longestRegisterRetryMs`. */
	registerRetryMs: 200,
	longestRegisterRetryMs: 2000,
	/**
	 * Maximum interval between two reads of all registrations in a small fleet, whose nodes notify each
	 * other of changes at once.
	 */
	readEveryMs: 20_000,
	/**
	 * First interval between such reads, which doubles while they show no new node. It is short because
	 * nodes that registered meanwhile may have found the fleet large, and then notify no node.
	 */
	firstReadAfterMs: 1000,
	/**
	 * Pause of a node of a large fleet after it applied changes of a followed table, before it asks for
	 * more. Each of 42 endpoints writes its row every 1.2 s, and 195 nodes may start within a second.
	 * Without the pause each change costs every node a call: 35 calls a second, most of the work of an
	 * otherwise idle node. A table that changes rarely is not delayed; other changes are known on every
	 * node after two pauses, one at the coordinator and one at the nodes of its zone.
	 */
	followPaceMs: 250,
	/** Number of nodes in a zone from which on the zone has a coordinator of its own, not one for all zones. */
	zoneSharingFrom: 6,
	/**
	 * Number of nodes from which on the fleet is large: a few homes hold the connections to an endpoint.
	 * In a smaller fleet each node opens one to three of its own: 8 nodes fit into 23 connections. When
	 * each of 77 nodes did so, an endpoint with room for 36 connections refused 71,716 of them in 16 s
	 * and served 42 % of the statements.
	 */
	homesFrom: 16,
	/** Number of homes of one endpoint: the second takes over at once when the first fails. */
	homesPerEndpoint: 2,
	/**
	 * Share of the cores of the zone's largest host from which on a host is preferred for the work that
	 * a node does for others: a home runs the statements of some forty nodes.
	 */
	largeHostShare: 0.5,
	/**
	 * Number of nodes of a zone that are tried as homes of one endpoint. In a zone that is cut off, each
	 * try costs the half second that it takes to detect a peer that does not answer.
	 */
	homeCandidates: 4,
	/** Time for which a home that could not reach its endpoint is avoided. */
	homeAvoidMs: 400,
	/**
	 * Expected time by which another home must be faster before the statements of an organisation leave
	 * their home. Opening a connection there first occupies a slot for about 12 ms, and reopening the
	 * connection that was closed to make room for it costs the same again.
	 */
	otherHomeMs: 20,
	/** Age of the last position of a replica up to which a home estimates its lag; status requests arrive every 250 ms. */
	lagKeptMs: 1000,
	/**
	 * Longest time for which one request for changes of a table waits at the coordinator. A coordinator
	 * that hangs is detected within this time, well below the 3 s within which a change of the
	 * configuration must be in force.
	 */
	sharedFollowMs: 1000,
	/**
	 * The same for registrations of nodes. No proof is dated by such a request, and a coordinator that
	 * hangs meanwhile shows by the other calls on its link, so that the longer wait only saves messages.
	 */
	sharedFollowNodesMs: 3000,
	/** Number of nodes of a zone that are asked for followed tables, one after the other, before the store itself. */
	rowAskers: 3,
	/** Backoff after a peer gave no rows of a table: for this time it is not asked for that table. */
	notFollowingMs: 2000,
	/**
	 * First backoff of an asker after the store gave no answer for a table, which grows up to the
	 * maximum: of the coordinator so short that it is the first of its zone that finds a store that has
	 * recovered (below `longestRetryMs` of the followed tables, so that each retry of a table asks), of the
	 * next ones longer, since they ask only while the coordinator has no rows.
	 */
	askerRetryMs: 250,
	nextAskerRetryMs: 1000,
	longestAskerRetryMs: 350,
	longestNextAskerRetryMs: 2000,
	/**
	 * First backoff, for all tables, after the store gave no answer to another node, which doubles up to
	 * the maximum. The node asks the askers of its zone and the other zones meanwhile. The maximum is
	 * below the 5 s within which a node that reaches the store must know a change, even if no other node
	 * of its zone's askers or of the other zones' coordinators reaches it.
	 */
	storeAwayMs: 1750,
	longestStoreAwayMs: 4000,
	/**
	 * Time for which a request to a store that did not answer the last time is waited for; the store
	 * responds in 4 ms, or in some 250 ms when it is slow. A zone finds a store that was silent sooner than
	 * with the 1 s of a call.
	 */
	storeProbeMs: 450,
	/** Share of such a backoff that is left out at random, so that nodes do not ask the store at the same moment. */
	storeRetryJitterShare: 0.2,
	/** Longest wait of a node that starts for its peer discovery, before it follows tables at the store. */
	lookBeforeFollowMs: 1000,
	/** Longest time since a peer last heard from a primary for which it counts as reaching it and may relay statements. */
	relayHeardMs: 500,
	/** Time for which a relay is used before another one is searched for. */
	relayForMs: 1000,
	/** Delay before the next search for a relay after none was found. */
	relayRetryMs: 200,
	/** Time beyond the idle timeout of transactions after which a transaction held for a peer is rolled back. */
	heldGraceMs: 2000,
} as const;

/** Type of the options of peering, whose defaults are `peeringDefaults`. */
export type PeeringOptions = {readonly [Name in keyof typeof peeringDefaults]: number};
