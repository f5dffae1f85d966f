/**
 * Types shared by the pools.
 */
import type {Either} from 'purify-ts';
import type {HomeOptions} from '../homes/constants.js';
import type {Refusal} from '../errors/error-kinds.js';
import type {
	Clock, EndpointAnswer, EndpointStatus, Invariants, LineConnector, LineWire, Log, Metrics, Random, RegisteredEndpoint,
} from '../services/services.js';
import type {LogPosition} from '../positions/log-position.js';
import type {AnswerTimes} from './answer-times.js';
import type {PoolOptions} from './constants.js';
import type {PreparedStatement, SessionState} from './session-state.js';

/** What a pool works with. */
export type PoolServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly connector: LineConnector;
	readonly wire: LineWire;
	readonly connectionRole: (endpoint: RegisteredEndpoint) => ConnectionRole;
	/** This node's share of the connections that an endpoint accepts; no bound where that is not known. */
	readonly connectionShare: (endpoint: RegisteredEndpoint) => number;
	/** Whether connections belong to organisations. */
	readonly areConnectionsPerOrganisation: () => boolean;
	readonly options: PoolOptions;
	readonly queueOptions: HomeOptions;
};

/**
 * For whom a node holds connections to an endpoint: for itself, as every node does; for all
 * nodes, as one of a few; or for none but a question now and then, where others hold them.
 */
export type ConnectionRole = 'forItself' | 'forAll' | 'forNone';

/** One statement on its way to an endpoint. */
export type EndpointStatement = {
	readonly id: string;
	readonly text: string;
	/** Prepared statement that the text calls, and its parameters; undefined for a plain text. */
	readonly call?: {readonly prepared: PreparedStatement; readonly parameters: string};
	readonly session: SessionState;
	/** Name of the caller for fair sharing. */
	readonly caller: string;
	/** Organisation whose connections it may use; undefined where callers need no key. */
	readonly organisation: string | undefined;
	readonly priority: number;
	readonly access: 'read' | 'write';
	/** Position that the endpoint's log must hold. */
	readonly floor?: LogPosition;
	/** When the statement is given up on, on the node's clock. */
	readonly deadlineMs: number;
	/** Longest wait for its answer once it was sent, where it may be sent again elsewhere. */
	readonly silenceMs?: number;
};

/** Why a statement has no answer of its endpoint. */
export type StatementFault = {
	/** Whether the endpoint may have run it. */
	readonly isSent: boolean;
	readonly refusal: Refusal;
	/** How the endpoint could not be reached, where it could not. */
	readonly cause?: 'refused' | 'silent' | 'closed' | 'full';
	/** When what failed had been sent, on the node's clock. */
	readonly sinceMs?: number;
	/** Whether it was another node, on the way to the endpoint, that gave no answer. */
	readonly isPeerLost?: boolean;
};

/** An answer, and when its statement was handed to the connection. */
export type TimedAnswer = {
	readonly answer: EndpointAnswer;
	readonly sentAtMs: number;
};

/** A state that an endpoint reported, and when it was asked. */
export type ReportedStatus = {
	readonly status: EndpointStatus;
	/** Position that its reads included. */
	readonly applied: LogPosition | undefined;
	readonly sentAtMs: number;
};

/** Where statements for one endpoint are run: this node's own connections, or another node's. */
export type StatementPool = {
	readonly endpoint: RegisteredEndpoint;
	readonly answerTimes: AnswerTimes;
	/** Name of the node over which it goes; undefined where this node connects itself. */
	readonly via: string | undefined;
	/** Statements of this node that are on their way to the endpoint. */
	readonly load: number;
	/** Whether it could not be reached a moment ago. */
	readonly isAvoided: boolean;
	/** Whether the endpoint takes no connection of this node, which has none. */
	readonly isOutOfConnections: boolean;
	/** Time until a new statement would be answered, by what is known here. */
	estimateMs(access: 'read' | 'write', priority: number): number;
	/** Runs one statement. */
	run(statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	/** Begins a transaction; resolves with the endpoint's answer where it refuses. */
	begin(statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, BegunTransaction>>;
	/** Closes idle connections: they may have fallen silent together. */
	closeIdle(): void;
};

/** A transaction that its session holds, or the endpoint's refusal to begin one. */
export type BegunTransaction = {readonly held: HeldTransaction} | {readonly answer: EndpointAnswer};

/** The connection of a transaction, for as long as its session holds it. */
export type HeldTransaction = {
	run(statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	/** Gives the connection back after the transaction has ended. */
	release(): void;
	/** Rolls the transaction back and gives the connection back. */
	rollBack(timeoutMs: number): Promise<void>;
	/** Closes the connection; the endpoint rolls back what it carried. */
	close(): void;
};
