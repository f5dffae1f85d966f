/**
 * Default options of a node's own connection pools. Times are in milliseconds.
 */
import type {EndpointErrorKind} from '../services/services.js';

/** Errors of statements that did not run: they tell nothing about the endpoint's service time or its failures. */
export const notServedErrors: ReadonlySet<EndpointErrorKind> = new Set(['busy', 'behind', 'readOnly', 'unknownStatement']);

/** Default options of connection pools. */
export const poolDefaults = {
	/** Minimum number of this node's statements that may be in flight at one endpoint; an endpoint with more slots gets as many as it has slots. */
	statementsInFlight: 3,
	/**
	 * Maximum number of statements whose answer is probably lost and whose slot is therefore given to
	 * others. With one answer in five lost at a primary, statements that waited for their full 800 ms
	 * occupied every slot.
	 */
	passedBy: 4,
	/** Connections to one endpoint that open transactions may hold. */
	heldConnections: 4,
	/**
	 * The same limit where two nodes hold an endpoint's connections for all nodes: ten each, with the
	 * connections on which both run statements, fit into 36 connections beside those of the nodes that
	 * send status requests.
	 */
	heldConnectionsForAll: 10,
	/** Maximum idle connections to one endpoint; any beyond it are closed at once. */
	idleConnections: 3,
	/** The same limit for nodes that hold an endpoint's connections for all nodes. */
	idleConnectionsForAll: 10,
	/**
	 * Maximum idle connections to one endpoint at a home where each connection belongs to an
	 * organisation; all of them are kept for `idleCloseMs`. Endpoints count the connections of hosts
	 * that lost power for another 3 s: with a higher limit, two homes that restart could open none.
	 */
	idleConnectionsByOrganisation: 5,
	/** Share of an endpoint's connections that each of its two homes may open; the rest is left for status requests and for the time in which a home changes. */
	organisationsShare: 0.4,
	/** Idle connections to one endpoint that are kept for `idleCloseMs`; the others are closed after `spareCloseMs`. */
	keptConnections: 1,
	/** The same number for nodes that leave an endpoint's connections to other nodes. */
	keptConnectionsForNone: 0,
	/** Idle time after which the connections that are kept are closed; below the idle timeout of endpoints, which is one minute. */
	idleCloseMs: 20_000,
	/**
	 * Idle time after which the other idle connections are closed. An endpoint counts the connections
	 * of hosts that lost power for another 3 s, so the idle connections of all nodes together must leave
	 * room for as many again.
	 */
	spareCloseMs: 500,
	/**
	 * Time after the start of this node during which it opens at most half of its share of connections.
	 * Endpoints count the connections of hosts that lost power for another 3 s, and all nodes may have
	 * lost power at once.
	 */
	modestAfterStartMs: 3000,
	/** Number of connections that may always be opened to begin a transaction, even if the share of this node is lower: a transaction keeps its connection between its statements. */
	leastWithTransaction: 2,
	/** Time for which an endpoint is avoided after it could not be reached. */
	avoidMs: 400,
	/** Time for which no connections are opened after the endpoint refused one because it had too many. */
	tooManyPauseMs: 300,
	/** Time for which a load report is kept for further answers: the load changes little within a fraction of a service time. */
	reportKeptMs: 2,
	/** Prepared statements that a connection may hold before its session state is discarded. */
	preparedNames: 256,
	/** Length of their shapes together, in characters, above which it is discarded too: callers choose the length of a shape, up to that of a message. */
	preparedShapeCharacters: 262_144,
	/** Weight of the newest answer in the average answer time of an endpoint. */
	answerTimeWeight: 0.15,
	/** Half-life of an average that gets no new answers, in its decay towards `assumedAnswerMs`. */
	answerTimeHalfLifeMs: 1500,
	/** Answer time that is assumed for an endpoint before its first answer. */
	assumedAnswerMs: 15,
	/** Time without an answer, in multiples of the average answer time, after which an answer is suspected to be lost. */
	silenceFactor: 8,
	/** Minimum of that time: several times the duration of most long statements, which is about 60 ms. */
	leastSilenceMs: 200,
} as const;

/** Options of connection pools, with every value set. */
export type PoolOptions = {readonly [Name in keyof typeof poolDefaults]: number};
