/**
 * Options of what nodes tell each other, in one table. Every time is in milliseconds.
 */

/** Table of the nodes' registrations. */
export const nodeTable = 'nodes';

/** Options of peering. */
export const peeringDefaults = {
	/** Time between two questions to the node that asks replicas for all; the same as its own. */
	shareEveryMs: 250,
	/**
	 * Time after which the asking node of a large fleet asks the store again what it tells others of
	 * replacements: well within the 20 s of history that the store keeps, one call for all groups.
	 */
	renewChecksMs: 8000,
	/** Longest wait for an answer about groups: crossing a zone takes about 2 ms. */
	overviewTimeoutMs: 200,
	/** Longest wait for an opinion on a primary that this node has lost. */
	opinionTimeoutMs: 300,
	/** Longest wait for nodes to take a fence in. */
	fenceTimeoutMs: 200,
	/** Time for which a node that did not answer is not asked to share. */
	passOverMs: 3000,
	/** Longest time of that: it doubles while a node does not answer. A node that starts again says so. */
	longestPassOverMs: 12_000,
	/** Time for which a node that said that it leaves may go on serving: the longest grace time, 6 s, and as much again for one that stood still. */
	leavingMs: 12_000,
	/** Longest wait of a node that starts for others to take it in. */
	joinTimeoutMs: 500,
	/**
	 * Wait of a node that has registered before it reads who else did, and meets them in a small
	 * fleet: opening a link to each takes some 40 ms of processor time, for which the first callers
	 * would wait.
	 */
	meetAfterMs: 250,
	/** Wait before a registration that failed is tried again; doubles up to the longest. */
	registerRetryMs: 200,
	longestRegisterRetryMs: 2000,
	/**
	 * Time between two reads of all registrations in a small fleet, whose nodes tell each other of
	 * changes at once.
	 */
	readEveryMs: 20_000,
	/**
	 * First time of that, which doubles while nothing new is read: nodes that registered meanwhile
	 * may have found the fleet large, and then tell nobody.
	 */
	firstReadAfterMs: 1000,
	/**
	 * Pause of a node of a large fleet after it took changes of a followed table in. Each of 42
	 * endpoints says something of itself every 1.2 s, and 195 nodes start within a second: without
	 * the pause each change is a call of every node, 35 a second and most of a quiet node's work.
	 * What changes rarely is not delayed; the rest is known everywhere after two of these times, one
	 * at the asker and one in its zone.
	 */
	followPaceMs: 250,
	/** Nodes in a zone from which on they share proofs among themselves rather than with all zones. */
	zoneSharingFrom: 6,
	/**
	 * Nodes from which on a few homes hold the connections to an endpoint. Below, each node keeps
	 * one to three of its own: 8 nodes fit into 23 connections. With 77 nodes that all did so, an
	 * endpoint of 36 connections refused 71,716 of them in 16 s and served 42 % of the statements.
	 */
	homesFrom: 16,
	/** Homes of one endpoint: a second one takes over at once when the first dies. */
	homesPerEndpoint: 2,
	/**
	 * Share of the largest host's cores in a zone from which on hosts are preferred for the work
	 * that a node does for others: a home runs the statements of some forty nodes.
	 */
	largeHostShare: 0.5,
	/**
	 * Nodes of a zone that are tried as homes of one endpoint. In a zone that is cut off each costs
	 * the half second in which a silent peer is found out.
	 */
	homeCandidates: 4,
	/** Time for which a home that could not reach its endpoint is passed over. */
	homeAvoidMs: 400,
	/**
	 * Longest wait of one question for changes of a table to the node that follows it for all. A
	 * node that froze is noticed in this time, well below the 3 s within which a change of the
	 * configuration must be in force.
	 */
	sharedFollowMs: 1000,
	/** Nodes of a zone that are asked for followed tables, one after the other, before the store itself. */
	rowAskers: 3,
	/** Time for which a node that could not follow a table is passed over for it. */
	notFollowingMs: 2000,
	/**
	 * Time between two calls of the store by a node that follows over another one, while neither
	 * reaches it. The other one is asked meanwhile: when the store is back, the nodes of a zone find
	 * its rows there, and do not all read them at one moment.
	 */
	storeAwayMs: 1000,
	/** Wait of such a node, once the store answers, for the one that follows for it to have read a table. */
	readAfterAskerMs: 250,
	/** Longest wait of a node that starts for the list of the others, before it follows tables at the store. */
	lookBeforeFollowMs: 1000,
	/** Age of a peer's last word from a primary up to which it counts as hearing it, and may relay statements. */
	relayHeardMs: 500,
	/** Time for which a relay is used before it is chosen anew. */
	relayForMs: 1000,
	/** Wait before a relay is looked for again after none was found. */
	relayRetryMs: 200,
	/** Time beyond a transaction's idle time after which a peer's transaction is rolled back. */
	heldGraceMs: 2000,
} as const;

/** Options of peering, as they may be set. */
export type PeeringOptions = {readonly [Name in keyof typeof peeringDefaults]: number};
