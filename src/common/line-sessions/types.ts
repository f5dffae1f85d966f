/**
 * Types shared by the parts of sessions.
 */
import type {Refusal} from '../errors/error-kinds.js';
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

/** Ways to primaries that this node cannot reach itself. */
export type PrimaryRelays = {
	primaryPool(group: PrimaryTracker): StatementPool | undefined;
	/** The way of a group did not serve. */
	forget(service: string): void;
};

/** The ways that statements to endpoints take. */
export type EndpointPools = {
	pool(endpoint: RegisteredEndpoint, organisation: string | undefined): StatementPool;
};

/** What sessions work with. */
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
};

/** A statement that an endpoint is to run for a session. */
export type RunnableStatement = {
	readonly id: string;
	readonly text: string;
	readonly access: 'read' | 'write';
	/** Prepared statement that it calls, and its parameters. */
	readonly call?: {readonly prepared: PreparedStatement; readonly parameters: string};
	readonly route: Route;
	readonly session: SessionState;
	/** Name of the caller for logs and fair sharing; never an API key. */
	readonly caller: string;
	/** Organisation on whose connections it runs; undefined where callers need no key. */
	readonly organisation: string | undefined;
	/** Position of the session's own last commit in the group. */
	readonly mark: LogPosition | undefined;
	readonly arrivedAtMs: number;
	/** When it is given up on, on the node's clock. */
	readonly deadlineMs: number;
};

/** An answer to a caller, but for the state that follows it. */
export type Answer = {
	readonly text: string;
	readonly position: LogPosition | undefined;
	/** What it refuses, where it is a refusal of this node's. */
	readonly refusal?: Refusal;
	/** Position that includes what the statement committed. */
	readonly mark?: LogPosition;
};
