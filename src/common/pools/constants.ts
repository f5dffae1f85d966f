/**
 * Options of a node's own connections to endpoints, in one table. Times are in milliseconds.
 */

/** Options of the pools. */
export const poolDefaults = {
	/** Statements of this node that one endpoint runs or queues at one time. */
	statementsInFlight: 3,
	/**
	 * Statements whose answers are probably lost, and in whose place others run meanwhile. With
	 * one answer in five lost at a primary, those that waited out their 800 ms filled all places.
	 */
	passedBy: 4,
	/** Connections to one endpoint that open transactions may hold between their statements. */
	heldConnections: 4,
	/**
	 * The same where two nodes hold an endpoint's connections for all: with what both run, ten
	 * each fit into 36 connections beside those of the nodes that ask for states.
	 */
	heldConnectionsForAll: 10,
	/** Idle connections to one endpoint that are kept; more are closed at once. */
	idleConnections: 3,
	/** The same for nodes that hold connections for all. */
	idleConnectionsForAll: 10,
	/**
	 * Idle connections to one endpoint that a home keeps for long where each belongs to an
	 * organisation. Endpoints count those of hosts that lost power for 3 s: with more, two homes
	 * that start again find no room.
	 */
	idleConnectionsByOrganisation: 5,
	/** Share of an endpoint's connections that one of its two homes may open there; the rest is for questions and for homes that change. */
	organisationsShare: 0.4,
	/** Idle connections that are kept for long. */
	keptConnections: 1,
	/** The same for nodes that leave an endpoint's connections to others. */
	keptConnectionsForNone: 0,
	/** Idle time after which these are closed, below the endpoints' own bound of a minute. */
	idleCloseMs: 20_000,
	/**
	 * Idle time after which the others are closed. An endpoint counts the connections of hosts
	 * that lost power for 3 s more: what all nodes keep must leave room for as many again.
	 */
	spareCloseMs: 500,
	/**
	 * Time after this node's start in which it opens half of its share of connections: endpoints
	 * count those of hosts that lost power for 3 s, and all nodes may have.
	 */
	modestAfterStartMs: 3000,
	/** Connections up to which a transaction may open one beyond the share: it keeps it between its statements. */
	leastWithTransaction: 2,
	/** Time that an endpoint which could not be reached is passed over. */
	avoidMs: 400,
	/** Time for which no further connections are opened after the endpoint had too many. */
	tooManyPauseMs: 300,
	/** Statement names that a connection collects before it is cleared. */
	preparedNames: 256,
	/** Weight of the newest answer in the average answer time of an endpoint. */
	answerTimeWeight: 0.15,
	/** Time after which an average that got no new answers counts half. */
	answerTimeHalfLifeMs: 1500,
	/** Answer time that is assumed of an endpoint before the first answer. */
	assumedAnswerMs: 15,
	/** Silence of a running statement, in multiples of the average answer time, that is suspicious. */
	silenceFactor: 8,
	/** Least silence that is suspicious: above the longest work of most statements, about 60 ms, several times over. */
	leastSilenceMs: 200,
} as const;

/** Options of the pools, as they may be set. */
export type PoolOptions = {readonly [Name in keyof typeof poolDefaults]: number};
