/**
 * Types shared by the modules of connection pools.
 */
import type {Either} from 'purify-ts';
import type {HomeOptions} from '../homes/constants.js';
import type {QueueLoad} from '../homes/types.js';
import type {Refusal} from '../errors/error-kinds.js';
import type {RetentionOptions} from '../load/constants.js';
import type {
	Clock, EndpointAnswer, EndpointStatus, Invariants, LineConnector, LineWire, Log, Metrics, Random, RegisteredEndpoint,
} from '../services/services.js';
import type {LogPosition} from '../positions/log-position.js';
import type {AnswerTimes} from './answer-times.js';
import type {PoolOptions} from './constants.js';
import type {PreparedStatement, SessionState} from './session-state.js';

/** Services that a pool depends on. */
export type PoolServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly connector: LineConnector;
	readonly wire: LineWire;
	readonly connectionRole: (endpoint: RegisteredEndpoint) => ConnectionRole;
	/** Number of the endpoint's connections that this node may use; infinite if the endpoint's limit is not known. */
	readonly connectionShare: (endpoint: RegisteredEndpoint) => number;
	/** Whether connections belong to organisations. */
	readonly areConnectionsPerOrganisation: () => boolean;
	readonly options: PoolOptions;
	readonly queueOptions: HomeOptions;
	/** Options for keeping connections of organisations by their use; undefined if the most recently used ones are kept. */
	readonly retentionOptions: RetentionOptions | undefined;
	/** Decisions under load of the queues; undefined for queues without goals. */
	readonly load?: QueueLoad;
};

/**
 * For whom a node holds connections to an endpoint: for itself (`forItself`); for all nodes, as one of
 * a few that do (`forAll`); or for none, apart from an occasional status request, because other nodes
 * hold them (`forNone`).
 */
export type ConnectionRole = 'forItself' | 'forAll' | 'forNone';

/** A statement to be run at an endpoint. */
export type EndpointStatement = {
	readonly id: string;
	readonly text: string;
	/** Prepared statement that the text executes, and its parameters; undefined for any other text. */
	readonly call?: {readonly prepared: PreparedStatement; readonly parameters: string};
	readonly session: SessionState;
	/** Name of the caller for fair sharing. */
	readonly caller: string;
	/** Organisation whose connections it uses; undefined where callers need no API key. */
	readonly organisation: string | undefined;
	readonly priority: number;
	readonly access: 'read' | 'write';
	/** Position that the endpoint must have reached before it runs the statement. */
	readonly floor?: LogPosition;
	/** Deadline, on the node's clock. */
	readonly deadlineMs: number;
	/** When the caller's response-time goal ends, on the node's clock; undefined if its route states none. */
	readonly goalAtMs?: number;
	/** Timeout in milliseconds for the answer after sending, if the statement may be retried at another endpoint. */
	readonly silenceMs?: number;
};

/** Why a statement got no answer from its endpoint. */
export type StatementFault = {
	/** Whether the endpoint may have run it. */
	readonly isSent: boolean;
	readonly refusal: Refusal;
	/** Why the endpoint could not be reached; undefined if the fault lies elsewhere. */
	readonly cause?: 'refused' | 'silent' | 'closed' | 'full';
	/** When the failed statement was sent, on the node's clock. */
	readonly sentAtMs?: number;
	/** Whether the relaying peer, and not the endpoint, gave no answer. */
	readonly isPeerLost?: boolean;
};

/** An answer, and when its statement was sent on the connection. */
export type TimedAnswer = {
	readonly answer: EndpointAnswer;
	readonly sentAtMs: number;
};

/** A status that an endpoint reported, and when the request was sent. */
export type ReportedStatus = {
	readonly status: EndpointStatus;
	/** Position that the endpoint had applied. */
	readonly applied: LogPosition | undefined;
	readonly sentAtMs: number;
};

/** Runs statements at one endpoint, over the connections of this node or of a peer. */
export type StatementPool = {
	readonly endpoint: RegisteredEndpoint;
	readonly answerTimes: AnswerTimes;
	/** Name of the peer that relays; undefined if this node connects to the endpoint itself. */
	readonly via: string | undefined;
	/** Statements of this node for the endpoint, queued or in flight. */
	readonly load: number;
	/** Whether the endpoint is currently avoided because it could not be reached. */
	readonly isAvoided: boolean;
	/** Whether the endpoint currently refuses new connections and this node has none open. */
	readonly isOutOfConnections: boolean;
	/** Estimated time in milliseconds until a new statement would be answered. */
	estimateMs(access: 'read' | 'write', priority: number): number;
	/** Runs one statement. */
	run(statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	/** Begins a transaction; resolves with the endpoint's answer if the endpoint refuses. */
	begin(statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, BegunTransaction>>;
	/** Closes all idle connections: after a lost answer on one connection, the others may be dead too. */
	closeIdle(): void;
};

/** A transaction that its session holds, or the endpoint's refusal to begin one. */
export type BegunTransaction = {readonly held: HeldTransaction} | {readonly answer: EndpointAnswer};

/** The connection of a transaction, which belongs to the session until it is released or closed. */
export type HeldTransaction = {
	run(statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	/** Returns the connection to the pool after the transaction has ended. */
	release(): void;
	/** Rolls the transaction back and returns the connection to the pool. */
	rollBack(timeoutMs: number): Promise<void>;
	/** Closes the connection; the endpoint rolls its transaction back. */
	close(): void;
};
