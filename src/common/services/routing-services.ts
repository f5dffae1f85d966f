/**
 * Interfaces for sessions, for routing their requests, and for the homes of endpoints.
 */
import type {Either} from 'purify-ts';
import type {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {LogPosition} from '../positions/log-position.js';
import type {CallerDescription} from './configuration-services.js';
import type {AnswerSink, TransactionStatus} from './endpoint-services.js';
import type {HomeExecutor, TransactionStep} from './node-services.js';

/** Highest position that a session wrote or read in each group. */
export type SessionMarks = {
	/** Whether the session has a session token, so that its positions are complete. */
	readonly isComplete: boolean;
	/** The position that answers from this group must include. */
	mark(group: string): LogPosition;
	/** Advances the position of a group; a lower position has no effect. */
	advance(group: string, position: LogPosition): void;
};

/** A caller's session as the router uses it. Only one request may be in flight. */
export type RoutedSession = {
	/** `<node>/<incarnation>/<number>`; unique over all nodes. */
	readonly id: string;
	readonly caller: CallerDescription;
	readonly group: string;
	readonly marks: SessionMarks;
	/** Maximum acceptable staleness that the caller stated; undefined if none. */
	maximumAgeMs: number | undefined;
	/** Deadline for each statement that the caller stated; undefined for the default of the rules. */
	deadlineMs: number | undefined;
	/** Whether the caller declared its statements idempotent. */
	isIdempotent: boolean;
	/** The endpoint that holds the session's open transaction; maintained by the router. */
	heldEndpoint: string | undefined;
	transactionStatus: TransactionStatus;
};

/** One complete request cycle of a caller. */
export type RequestCycle = {
	/** Whole frontend messages that end in one ReadyForQuery. */
	readonly frames: Uint8Array;
	/** `read` only if that is certain or the caller declared it. */
	readonly access: 'read' | 'write';
	readonly step: TransactionStep;
};

/** Result of a routed request. */
export type RouteEnd = {
	readonly transactionStatus: TransactionStatus;
	readonly endpoint: string;
	readonly position: LogPosition;
	readonly errorSqlState?: string;
};

/** Selects an endpoint for a request cycle and runs it there, with retries. */
export type Router = {
	/** Runs a request cycle; pushes whole backend messages to the sink, without the final ReadyForQuery. */
	execute(session: RoutedSession, cycle: RequestCycle, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, RouteEnd>>;
	/** Releases what a closed session still holds. */
	close(session: RoutedSession): void;
};

/** The endpoints whose home is this node. */
export type Homes = HomeExecutor & Disposable & {
	/** Names of the endpoints that this node is attached to. */
	served(): readonly string[];
	/** Hands over one endpoint: accepts no new work for it, finishes running statements, and detaches. */
	handOver(endpoint: string): Promise<void>;
	/** Hands over every endpoint, within `boundMs`. */
	drain(boundMs: number): Promise<void>;
	/** Releases what the sessions of a lost entry node hold; their ids begin with its name. */
	onPeerLost(nodeName: string): void;
};
