/**
 * Types shared by the modules of caller sessions.
 */
import type {Refusal} from '../errors/error-kinds.js';
import type {LoadOptions} from '../load/constants.js';
import type {PreparedStatement, SessionState} from '../pools/session-state.js';
import type {LogPosition} from '../positions/log-position.js';
import type {RouteCatalog} from '../catalog/route-catalog.js';
import type {AccessControl} from '../organisations/access-control.js';
import type {UsageLimits} from '../organisations/usage-limits.js';
import type {PrimaryTrackers} from '../primacy/primary-trackers.js';
import type {StatementPool} from '../pools/types.js';
import type {PrimaryTracker} from '../primacy/primary-tracker.js';
import type {
	Clock, LineWire, Log, Metrics, Random, RegisteredEndpoint, Route,
} from '../services/services.js';
import type {LineSessionOptions} from './constants.js';

/** Selects peers that relay statements to primaries which this node cannot reach itself. */
export type PrimaryRelays = {
	primaryPool(group: PrimaryTracker): StatementPool | undefined;
	/** Drops the relay of a group after it failed to reach the primary. */
	dropRelay(service: string): void;
};

/** Selects the pool through which statements to an endpoint are sent. */
export type EndpointPools = {
	pool(endpoint: RegisteredEndpoint, organisation: string | undefined): StatementPool;
};

/** Services that sessions depend on. */
export type LineSessionServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly wire: LineWire;
	readonly catalog: RouteCatalog;
	readonly access: AccessControl;
	readonly usage: UsageLimits;
	readonly endpointPools: EndpointPools;
	readonly trackers: PrimaryTrackers;
	readonly relays: PrimaryRelays;
	readonly availabilityZone: string;
	readonly options: LineSessionOptions;
	/** Return times of callers without a primary; undefined where they are not scheduled. */
	readonly load?: ReturnLoad;
};

/** What return times of callers depend on. */
export type ReturnLoad = {
	/** Whether return times are scheduled at this moment. */
	readonly isReturnScheduled: () => boolean;
	/** Number of nodes that refuse callers. */
	readonly nodes: () => number;
	readonly options: LoadOptions;
};

/** A statement that an endpoint is to run for a session. */
export type RunnableStatement = {
	readonly id: string;
	readonly text: string;
	readonly access: 'read' | 'write';
	/** Prepared statement that it executes, and its parameters. */
	readonly call?: {readonly prepared: PreparedStatement; readonly parameters: string};
	readonly route: Route;
	readonly session: SessionState;
	/** Name of the caller for logs and fair sharing; never an API key. */
	readonly caller: string;
	/** Organisation whose connections it uses; undefined where callers need no API key. */
	readonly organisation: string | undefined;
	/** Position of the session's own last commit in the group. */
	readonly mark: LogPosition | undefined;
	readonly arrivedAtMs: number;
	/** Deadline, on the node's clock. */
	readonly deadlineMs: number;
	/** When the response-time goal of the route ends, on the node's clock; undefined if the route states none. */
	readonly goalAtMs: number | undefined;
};

/** An answer to a caller, without the ready line that reports the transaction status. */
export type Answer = {
	readonly text: string;
	readonly position: LogPosition | undefined;
	/** The refusal, if this node refused the statement. */
	readonly refusal?: Refusal;
	/** Position in the log that includes what the statement committed. */
	readonly mark?: LogPosition;
};
