/**
 * Types shared by the parts of a home.
 */
import type {Either} from 'purify-ts';
import type {Refusal} from '../errors/error-kinds.js';
import type {LogPosition} from '../positions/log-position.js';
import type {
	AnswerSink, Clock, Configuration, EndpointConnector, HomeRequest, Invariants, Log,
	Membership, Metrics, Peers, Random,
} from '../services/services.js';
import type {HomeOptions} from './constants.js';

/** The services and options that every part of a home may use. */
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

/** One request cycle on its way through a home. */
export type RunningRequest = {
	readonly request: HomeRequest;
	readonly sink: AnswerSink;
	readonly signal: AbortSignal;
	/** On the home's clock. */
	readonly deadlineMs: number;
	/** Whether the endpoint was the group's primary when the statement, or its transaction, began. */
	isOnPrimary: boolean;
	/** What the answer must include: the asked position, or a later one that a proof showed. */
	minimumPosition: LogPosition;
	/** Proof of freshness that was asked for on arrival. */
	proof: Promise<Either<Refusal, LogPosition>> | undefined;
	/** Whether the request was handed to a connection. */
	isSent: boolean;
	/** Whether it is with the endpoint now. */
	isRunning: boolean;
	/** Whether it is certain that nothing of the sent request took effect. */
	isWithoutEffect: boolean;
	/** Whether the session was released while the request was in progress. */
	isReleased: boolean;
	queuedMs: number;
	/** Bound on the age of the data, where one was asked for: asking makes the group prove ages for a while. */
	ageMs: number | undefined;
};

/** Kinds of work that share the slots of an endpoint. */
export type SlotLane = 'transaction' | 'begin' | 'read' | 'write';
