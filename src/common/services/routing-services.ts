/**
 * Sessions, their requests, and the homes of endpoints.
 */
import type {Either} from 'purify-ts';
import type {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {LogPosition} from '../positions/log-position.js';
import type {CallerDescription} from './configuration-services.js';
import type {AnswerSink, TransactionStatus} from './endpoint-services.js';
import type {HomeExecutor, TransactionStep} from './node-services.js';

/** Highest positions that a session wrote or read, per group. */
export type SessionMarks = {
	/** Whether the session brought or was given a token, so that its marks are complete. */
	readonly isComplete: boolean;
	/** The position that answers for this group must include. */
	mark(group: string): LogPosition;
	/** Moves the mark of a group forward; never back. */
	advance(group: string, position: LogPosition): void;
};

/** A caller's session as routing sees it. One request at a time. */
export type RoutedSession = {
	/** `<node>/<incarnation>/<number>`; unique over all nodes. */
	readonly id: string;
	readonly caller: CallerDescription;
	readonly group: string;
	readonly marks: SessionMarks;
	/** Largest acceptable age that the caller stated; undefined for none. */
	maximumAgeMs: number | undefined;
	/** Deadline of each statement that the caller stated; undefined for the rules' default. */
	deadlineMs: number | undefined;
	/** Whether the caller said that its statements may be repeated. */
	isIdempotent: boolean;
	/** The endpoint that holds the session's open transaction; kept by the router. */
	heldEndpoint: string | undefined;
	transactionStatus: TransactionStatus;
};

/** One request cycle of a caller, ready to be relayed. */
export type RequestCycle = {
	/** Whole frontend messages that end in one ReadyForQuery. */
	readonly frames: Uint8Array;
	/** `read` only if that is certain, or the caller said so. */
	readonly access: 'read' | 'write';
	readonly step: TransactionStep;
};

/** How a routed request ended. */
export type RouteEnd = {
	readonly transactionStatus: TransactionStatus;
	readonly endpoint: string;
	readonly position: LogPosition;
	readonly errorSqlState?: string;
};

/** Chooses an endpoint for a request cycle and sees it through. */
export type Router = {
	/** Pushes whole backend messages without the final ReadyForQuery. */
	execute(session: RoutedSession, cycle: RequestCycle, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, RouteEnd>>;
	/** Ends what a closed session still holds. */
	close(session: RoutedSession): void;
};

/** The endpoints that this node is home of. */
export type Homes = HomeExecutor & Disposable & {
	/** Names of the endpoints that this node is attached to. */
	served(): readonly string[];
	/** Lets one endpoint go: takes no new work for it, finishes what runs, detaches. */
	handOver(endpoint: string): Promise<void>;
	/** Lets every endpoint go, within a bound. */
	drain(boundMs: number): Promise<void>;
	/** Ends what the sessions of a lost entry node hold: ids that begin with its name. */
	onPeerLost(nodeName: string): void;
};
