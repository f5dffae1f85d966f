/**
 * Types shared by the components of a home.
 */
import type {Either} from 'purify-ts';
import type {Refusal} from '../errors/error-kinds.js';
import type {LoadOptions} from '../load/constants.js';
import type {StatementOrder} from '../load/goal-order.js';
import type {LogPosition} from '../positions/log-position.js';
import type {
	AnswerSink, Clock, Configuration, EndpointConnector, HomeRequest, Invariants, Log,
	Membership, Metrics, Peers, Random,
} from '../services/services.js';
import type {HomeOptions} from './constants.js';

/** The services and options that every component of a home may use. */
export type HomeContext = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly connector: EndpointConnector;
	readonly membership: Membership;
	readonly peers: Peers;
	readonly configuration: Configuration;
	readonly invariants: Invariants;
	readonly options: HomeOptions;
};

/** State of one request cycle while a home processes it. */
export type RunningRequest = {
	readonly request: HomeRequest;
	readonly sink: AnswerSink;
	readonly signal: AbortSignal;
	/** Deadline on the home's clock, in milliseconds. */
	readonly deadlineMs: number;
	/** Whether the endpoint was the group's primary when the statement, or its transaction, began. */
	isOnPrimary: boolean;
	/** Position that the answer must include: the requested one, or a later one that a freshness proof returned. */
	minimumPosition: LogPosition;
	/** Freshness proof that was requested on arrival; undefined if none is needed. */
	proof: Promise<Either<Refusal, LogPosition>> | undefined;
	/** Whether the request was handed to a connection. */
	isSent: boolean;
	/** Whether the endpoint is processing the request now. */
	isRunning: boolean;
	/** Whether it is certain that nothing of the sent request took effect. */
	isWithoutEffect: boolean;
	/** Whether the session was released while the request was in progress. */
	isReleased: boolean;
	queuedMs: number;
	/** Upper bound on the age of the endpoint's data; read only if the request states a maximum age, since reading it makes the group prove ages for a while. */
	ageMs: number | undefined;
};

/** Kinds of work that share the slots of an endpoint. */
export type SlotLane = 'transaction' | 'begin' | 'read' | 'write';

/** Which decisions under load a queue follows. */
export type QueueLoad = {
	readonly log: Log;
	/** Whether statements are ordered and admitted by goal at this moment. */
	readonly isAdmissionByGoal: () => boolean;
	/** Whether refused callers are given places in a schedule of returns at this moment. */
	readonly isReturnScheduled: () => boolean;
	readonly options: LoadOptions;
	/** Replaces the order by goals, to compare orders. */
	readonly order?: StatementOrder;
};
