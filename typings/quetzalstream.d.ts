/**
 * The public API of quetzalstream: all of it, and nothing else is public.
 *
 * Units are in the names: `Ms` milliseconds, `Bytes` bytes. Refusals and faults are values
 * (`Left` of an `Either`), not exceptions; what throws or rejects says so. docs/LIBRARY.md
 * shows how the parts go together.
 */
import type {Either} from 'purify-ts';

// ---------------------------------------------------------------- lifetimes and events

/** Something with a lifetime that ends once. */
export type Disposable = {
	dispose(): void;
};

/** Subscribes a listener; disposing the result ends the subscription. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** The owner's side of an event, for services of your own. */
export declare class Emitter<T> implements Disposable {
	/** The subscriber's side. */
	readonly event: Event<T>;
	/** Calls every listener, in the order of subscription. */
	fire(value: T): void;
	/** Drops every listener. */
	dispose(): void;
}

// ---------------------------------------------------------------- errors

/** What is known about the request that a refusal belongs to. */
export type Outcome = 'notRun' | 'ran' | 'unknown';

/** How a kind of error is answered (docs/ERRORS.md). */
export type ErrorAnswer = {
	/** Five-character SQLSTATE sent to the caller. */
	readonly sqlState: string;
	readonly outcome: Outcome;
	/** Whether the proxy itself may send the request again. */
	readonly isProxyRetryable: boolean;
	/** When to come back; zero when that does not help. */
	readonly retryAfterMs: number;
	/** A fatal error ends the caller's connection. */
	readonly severity: 'ERROR' | 'FATAL';
	readonly message: string;
};

/** Every kind of error. */
export type ErrorKind
	= | 'malformedMessage' | 'messageTooLarge' | 'authenticationFailed' | 'tooManyCallers' | 'unknownGroup'
		| 'invalidToken' | 'invalidParameter' | 'unsupportedStatement' | 'unknownStatement' | 'statementFailed' | 'transactionFailed'
		| 'overloaded' | 'callerLimited' | 'deadlineUnreachable' | 'deadlineExceeded' | 'cancelled'
		| 'tooStale' | 'behindToken' | 'noPrimary' | 'notPrimary' | 'notHome' | 'readOnlyEndpoint'
		| 'endpointUnavailable' | 'endpointLeaving' | 'peerUnavailable' | 'transactionLost' | 'transactionTooLong' | 'configurationUnproved'
		| 'outcomeUnknown' | 'answerCutShort' | 'shuttingDown' | 'invariantViolated';

/** The table from kind to answer. */
export declare const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>>;

/** A request that was not answered by an endpoint. */
export declare class Refusal {
	readonly kind: ErrorKind;
	/** Detail for people; never holds statement text. */
	readonly detail: string;
	/** When to come back; from the kind, or better known by whoever refused. */
	readonly retryAfterMs: number;
	/** What the refusing node knows better than the asker. */
	readonly correction: ViewCorrection | undefined;
	readonly answer: ErrorAnswer;
	constructor(kind: ErrorKind, detail?: string, options?: {retryAfterMs?: number; correction?: ViewCorrection});
}

/** What a node knows about a group, sent beside refusals and answers. */
export type ViewCorrection = {
	readonly term?: number;
	readonly primary?: string;
	/** Node that serves the endpoint that was asked for. */
	readonly homeNode?: string;
	readonly applied?: ReadonlyArray<{readonly endpoint: string; readonly position: LogPosition}>;
};

// ---------------------------------------------------------------- positions

/** A place in the log of a database group; ordered by term, then offset. */
export type LogPosition = {
	/** Term of the primary that wrote the entry at this place. */
	readonly term: number;
	/** Number of entries up to and including this place. */
	readonly offset: number;
};

/** The place before the first entry. */
export declare const zeroPosition: LogPosition;

/** Negative, zero or positive, as `a` is before, at or after `b`. */
export declare function comparePositions(a: LogPosition, b: LogPosition): number;

/** Whether a log that ends at `reached` contains everything up to `wanted`. */
export declare function hasReached(reached: LogPosition, wanted: LogPosition): boolean;

// ---------------------------------------------------------------- services that the host lends

/** Monotonic time and timers. Source: the host, or a virtual clock. */
export type Clock = {
	/** Monotonic milliseconds with an arbitrary origin. */
	nowMs(): number;
	/** Milliseconds since 1970, for people; no decision rests on it. */
	wallClockMs(): number;
	/** Calls back once after a delay, unless disposed. */
	setTimer(delayMs: number, callback: () => void): Disposable;
};

/** Seedable randomness; not used for secrets. */
export type Random = {
	/** Uniform in [0, 1). */
	next(): number;
};

/** Receives the events of docs/EVENTS.md by name. */
export type Log = {
	event(name: string, fields?: Readonly<Record<string, unknown>>): void;
};

/** Receives the metrics of docs/METRICS.md by their names in camel case. */
export type Metrics = {
	count(name: string, labels?: Readonly<Record<string, string>>, by?: number): void;
	gauge(name: string, value: number, labels?: Readonly<Record<string, string>>): void;
	observe(name: string, value: number, labels?: Readonly<Record<string, string>>): void;
};

/** Number, severity and message of every event. */
export declare const logEvents: Readonly<Record<string, {
	readonly number: number;
	readonly level: 'debug' | 'info' | 'warn' | 'error';
	readonly message: string;
}>>;

/** Kind, help and labels of every metric. */
export declare const metrics: Readonly<Record<string, {
	readonly kind: 'counter' | 'gauge' | 'histogram';
	readonly help: string;
	readonly labels?: readonly string[];
}>>;

/** Hears of promises that the program found broken. */
export type Invariants = {
	/** Returns the condition. An implementation may throw when it is false, as in tests. */
	check(name: string, condition: boolean, detail: () => string): boolean;
};

/** An act that the audit trail records. */
export type AuditEntry = {
	readonly actor: string;
	readonly act: string;
	readonly subject: string;
	readonly basis: string;
	readonly outcome: string;
};

/** Keeps the audit trail; must not block or throw. */
export type Audit = {
	record(entry: AuditEntry): void;
};

/** Keeps a record of terms and their primaries; must not block or throw. */
export type TermRecorder = {
	record(announcement: PrimaryAnnouncement, claimId: string): void;
};

// ---------------------------------------------------------------- database groups

/** Where an endpoint is reached. Source: the configuration in force. */
export type EndpointAddress = {
	readonly name: string;
	readonly group: string;
	readonly availabilityZone: string;
	/** IP address. */
	readonly host: string;
	readonly port: number;
};

/** What an instance of a group says about itself. Source: its own report, nothing else. */
export type InstanceState = {
	readonly role: 'primary' | 'replica' | 'rebuilding';
	/** Highest term it promised to follow. */
	readonly promisedTerm: number;
	/** Claim that the promised term was raised by; empty in the first term. */
	readonly claimId: string;
	/** End of its log. */
	readonly received: LogPosition;
	/** What its reads see. */
	readonly applied: LogPosition;
	readonly isStreaming: boolean;
};

/** Why an exchange with an endpoint failed. */
export type EndpointFault = {
	/** False only when no byte of the request can have reached the endpoint. Safety rests on it. */
	readonly mayHaveReached: boolean;
	readonly detail: string;
	/** SQLSTATE when the endpoint refused in its own words. */
	readonly sqlState?: string;
};

/** Receives whole framed backend messages; resolves when the receiver can take more. */
export type AnswerSink = {
	push(frames: Uint8Array): void | Promise<void>;
};

/** Status as in ReadyForQuery. */
export type TransactionStatus = 'idle' | 'open' | 'failed';

/** How one request cycle ended at an endpoint. */
export type ExchangeEnd = {
	readonly transactionStatus: TransactionStatus;
	/** Applied position after the cycle. Source: the endpoint's own report. */
	readonly position: LogPosition;
	/** SQLSTATE of the first error of the cycle. */
	readonly errorSqlState?: string;
};

/** One work connection; one exchange at a time. */
export type EndpointConnection = Disposable & {
	readonly onClose: Event<void>;
	/** Sends frontend messages that end in one ReadyForQuery; pushes the answer without it. */
	exchange(frames: Uint8Array, sink: AnswerSink): Promise<Either<EndpointFault, ExchangeEnd>>;
	/** Asks the endpoint to cancel what runs; best effort. */
	cancel(): void;
};

/** What an order about terms answered. */
export type TermClaim = {
	readonly isAccepted: boolean;
	readonly state: InstanceState;
};

/** One control connection to one instance; docs/ENDPOINTS.md says what each order must do. */
export type InstanceControl = Disposable & {
	readonly onClose: Event<void>;
	readonly onState: Event<InstanceState>;
	/** The state, read after the call. */
	readState(): Promise<Either<EndpointFault, InstanceState>>;
	raiseTerm(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>>;
	promote(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>>;
	follow(term: number, primary: EndpointAddress): Promise<Either<EndpointFault, TermClaim>>;
	attach(homeId: string, isForced: boolean): Promise<Either<EndpointFault, {isAttached: boolean; holder: string}>>;
	detach(homeId: string): Promise<Either<EndpointFault, void>>;
};

/** Opens connections to endpoints. */
export type EndpointConnector = {
	connectWork(endpoint: EndpointAddress, homeId: string): Promise<Either<EndpointFault, EndpointConnection>>;
	connectControl(endpoint: EndpointAddress, observerId: string): Promise<Either<EndpointFault, InstanceControl>>;
};

/** What a node knows about a group. Source: reports of instances; it may be old. */
export type GroupView = {
	readonly group: string;
	/** Highest term with a known primary; zero when none is known. */
	readonly term: number;
	readonly primary: string;
	readonly instances: ReadonlyArray<{
		readonly endpoint: string;
		readonly isReachable: boolean;
		readonly reportedAgoMs: number;
		readonly state?: InstanceState;
	}>;
};

// ---------------------------------------------------------------- nodes and transport

/** A host of the system. Source: the platform's list, or the host itself. */
export type Host = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly region: string;
	readonly peerHost: string;
	readonly peerPort: number;
	readonly operatorPort: number;
	readonly isLeaving: boolean;
	/** Differs between two starts of the same name. */
	readonly incarnation: string;
};

/** Who is there. A hint: a wrong belief costs a refusal or a detour. */
export type Membership = {
	readonly self: Host;
	readonly onChange: Event<void>;
	/** Hosts believed to be there, leaving ones included. */
	hosts(): readonly Host[];
	host(name: string): Host | undefined;
	homeOf(endpoint: {readonly name: string; readonly availabilityZone: string}): Host | undefined;
	reportReachability(name: string, isReachable: boolean): void;
	learn(host: Host): void;
	leave(): void;
};

/** A request cycle on its way to the home of an endpoint. */
export type HomeRequest = {
	readonly group: string;
	readonly endpoint: string;
	/** `<node>/<incarnation>/<number>`. */
	readonly sessionId: string;
	readonly caller: string;
	/** Whole frontend messages that end in one ReadyForQuery. */
	readonly frames: Uint8Array;
	readonly access: 'read' | 'write';
	readonly step: 'none' | 'begin' | 'commit' | 'rollback';
	readonly isInTransaction: boolean;
	/** Whether running it twice does no harm, by the caller's word. */
	readonly isIdempotent: boolean;
	/** The endpoint must have applied this much. */
	readonly minimumPosition: LogPosition;
	/** Largest acceptable age of the data; undefined for none stated. */
	readonly maximumAgeMs?: number;
	readonly isFreshnessProved: boolean;
	/** Time left when the request was handed over. */
	readonly timeLeftMs: number;
	/** Lower is served first among those waiting. */
	readonly priority: number;
	readonly transactionIdleMs: number;
};

/** How a request ended at the home. */
export type HomeEnd = ExchangeEnd & {
	/** Whether the session's connection is held for it. */
	readonly isHeld: boolean;
	readonly queuedMs: number;
	/** Upper bound on the age of the data, where known. */
	readonly ageMs?: number;
	readonly correction?: ViewCorrection;
};

/** Executes request cycles at the home of an endpoint. */
export type HomeExecutor = {
	/** A refusal after the first push is `answerCutShort` or `outcomeUnknown`. */
	execute(request: HomeRequest, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, HomeEnd>>;
	/** Ends what the session holds. */
	release(group: string, endpoint: string, sessionId: string): void;
};

/** Tells that a group has a new primary. */
export type PrimaryAnnouncement = {
	readonly group: string;
	readonly term: number;
	readonly primary: string;
};

/** What a peer says about itself. */
export type PeerProbe = {
	readonly host: Host;
	readonly configurationVersion: number;
};

/** Changes of the configuration, as JSON. */
export type ChangeBatch = {
	readonly version: number;
	readonly changes: readonly string[];
	readonly snapshot?: string;
};

/** The transport between nodes. Refusals are `peerUnavailable` when nothing can have arrived. */
export type Peers = Disposable & {
	executorOf(host: Host): HomeExecutor;
	groupView(host: Host, group: string, timeoutMs: number): Promise<Either<Refusal, GroupView>>;
	probe(host: Host, timeoutMs: number): Promise<Either<Refusal, PeerProbe>>;
	/** Announcements have no answer and may get lost. */
	announcePrimary(host: Host, announcement: PrimaryAnnouncement): void;
	fetchChanges(host: Host, afterNumber: number, timeoutMs: number): Promise<Either<Refusal, ChangeBatch>>;
	announceVersion(host: Host, version: number): void;
	handOver(host: Host, endpoint: string, timeoutMs: number): Promise<Either<Refusal, void>>;
	announceLeaving(host: Host): void;
};

/** What a transport calls when peers ask something of this node. */
export type PeerHandlers = {
	readonly executor: HomeExecutor;
	groupView(group: string): GroupView;
	probe(): PeerProbe;
	onPrimaryAnnounced(announcement: PrimaryAnnouncement): void;
	changesAfter(afterNumber: number): ChangeBatch;
	onVersionAnnounced(from: string, version: number): void;
	handOver(endpoint: string): Promise<void>;
	onLeavingAnnounced(name: string): void;
	/** Must be called when a link from a peer ends: what its sessions hold is rolled back. */
	onPeerLost(name: string): void;
};

// ---------------------------------------------------------------- platform

/** Why the platform did not answer as asked; docs/PLATFORM.md. */
export type PlatformFault = {
	/** Only `unavailable` leaves open whether it was applied. */
	readonly kind: 'conditionFailed' | 'unavailable' | 'throttled' | 'invalid';
	readonly detail: string;
};

/** An item of the table. */
export type TableItem = {
	readonly partition: string;
	readonly sort: string;
	/** Grows by one with every write. */
	readonly revision: number;
	/** Identity of the change that wrote it. */
	readonly changeId: string;
	/** JSON. */
	readonly body: string;
	/** Milliseconds since 1970 after which the platform may delete the item. */
	readonly expiresAtMs?: number;
};

/** The transactional table service. Writes must be conditional and linearizable. */
export type Table = {
	get(partition: string, sort: string): Promise<Either<PlatformFault, TableItem | undefined>>;
	/** Items with sort keys after one, in order, at most `limit`. */
	query(partition: string, afterSort: string, limit: number): Promise<Either<PlatformFault, readonly TableItem[]>>;
	/** Writes if the revision is `expectedRevision` (0: absent), or the same change took effect before. */
	put(item: Omit<TableItem, 'revision'>, expectedRevision: number): Promise<Either<PlatformFault, TableItem>>;
	/** Writes all or none. */
	putAll(items: ReadonlyArray<{readonly item: Omit<TableItem, 'revision'>; readonly expectedRevision: number}>): Promise<Either<PlatformFault, void>>;
};

/** The object store. */
export type Objects = {
	get(key: string): Promise<Either<PlatformFault, {readonly body: string; readonly etag: string} | undefined>>;
	put(key: string, body: string): Promise<Either<PlatformFault, {readonly etag: string}>>;
};

/** The list of live and leaving hosts; it may lag. */
export type HostList = {
	read(): Promise<Either<PlatformFault, readonly Host[]>>;
	register(host: Host): Promise<Either<PlatformFault, void>>;
};

// ---------------------------------------------------------------- a node of your own

/** What a node needs from its host. */
export type NodeServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly invariants: Invariants;
	readonly connector: EndpointConnector;
	readonly table: Table;
	readonly objects: Objects;
	readonly hostList: HostList;
	readonly audit: Audit;
	readonly terms: TermRecorder;
	/** Builds the transport; it reports reachability to the membership. */
	readonly createPeers: (membership: Membership) => Peers;
};

/** Options of the parts by name; docs/SETTINGS.md, "Tuning". */
export type NodeOptions = {
	readonly homes?: Readonly<Record<string, number | string>>;
	readonly groups?: Readonly<Record<string, number | string>>;
	readonly routing?: Readonly<Record<string, number | string>>;
	readonly membership?: Readonly<Record<string, number | string>>;
};

/** Who sends a statement, as rules see it. */
export type CallerDescription = {
	readonly user: string;
	readonly applicationName: string;
	readonly availabilityZone: string;
	readonly labels: Readonly<Record<string, string>>;
};

/** Highest positions that a session wrote or read. */
export type SessionMarks = {
	/** Whether the marks hold everything that the session wrote, on whatever connection. */
	readonly isComplete: boolean;
	mark(group: string): LogPosition;
	/** Never moves back. */
	advance(group: string, position: LogPosition): void;
};

/** A caller's session; one request at a time. */
export type RoutedSession = {
	/** `<node>/<incarnation>/<number>`; unique over all nodes. */
	readonly id: string;
	readonly caller: CallerDescription;
	readonly group: string;
	readonly marks: SessionMarks;
	maximumAgeMs: number | undefined;
	deadlineMs: number | undefined;
	isIdempotent: boolean;
	/** Kept by the router. */
	heldEndpoint: string | undefined;
	/** Kept by the router. */
	transactionStatus: TransactionStatus;
};

/** One request cycle of a caller. */
export type RequestCycle = {
	/** Whole frontend messages that end in one ReadyForQuery. */
	readonly frames: Uint8Array;
	/** `read` only if it certainly changes nothing. */
	readonly access: 'read' | 'write';
	readonly step: 'none' | 'begin' | 'commit' | 'rollback';
};

/** How a routed request ended. */
export type RouteEnd = ExchangeEnd & {
	/** Endpoint that answered. */
	readonly endpoint: string;
};

/** Chooses an endpoint for a request cycle and sees it through. */
export type Router = {
	/** Pushes whole backend messages without the final ReadyForQuery. */
	execute(session: RoutedSession, cycle: RequestCycle, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, RouteEnd>>;
	/** Ends what a closed session still holds. */
	close(session: RoutedSession): void;
};

/** One operation of a change; docs/CONFIGURATION.md describes the values. */
export type Operation
	= | {readonly op: 'put'; readonly kind: 'service' | 'group' | 'endpoint' | 'caller' | 'rule'; readonly value: Readonly<Record<string, unknown>>}
		| {readonly op: 'remove'; readonly kind: 'service' | 'group' | 'endpoint' | 'caller' | 'rule'; readonly name: string};

/** A change that somebody wants. */
export type Proposal = {
	/** 8 to 64 letters, digits, hyphens and underscores; the same identity takes effect once. */
	readonly changeId: string;
	readonly author: string;
	/** Number of the last change that the author had seen. */
	readonly basedOn: number;
	readonly operations: readonly Operation[];
	readonly note?: string;
	readonly acknowledged?: readonly string[];
};

/** Why a change was not accepted. Only `unknown` may still have taken effect. */
export type ProposalRefusal = {
	readonly kind: 'invalid' | 'conflict' | 'unacknowledged' | 'unavailable' | 'unknown';
};

/** One node without its listeners, free of any host. */
export declare class NodeCore implements Disposable {
	readonly membership: Membership;
	readonly peers: Peers;
	readonly router: Router;
	/** What a transport passes the requests of peers to. */
	readonly peerHandlers: PeerHandlers;
	readonly configuration: {readonly version: number; readonly onChange: Event<number>};
	readonly changeLog: {propose(proposal: Proposal): Promise<Either<ProposalRefusal, {readonly number: number}>>};
	constructor(self: Host, services: NodeServices, options?: NodeOptions);
	/** Joins the others and loads the configuration; resolves once it is in force. */
	start(): Promise<void>;
	/** Lets go of every endpoint within a bound, and tells the others. */
	drain(boundMs: number): Promise<void>;
	/** Ends everything at once. */
	dispose(): void;
}

/** Signs session tokens; the same key on every node. */
export type TokenSigner = {
	/** At least 16 bytes. */
	sign(bytes: Uint8Array): Uint8Array;
};

/** What a front for callers needs from the node. */
export type CallerServices = {
	readonly router: Router;
	readonly configuration: NodeCore['configuration'];
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly signer: TokenSigner;
	readonly node: {readonly name: string; readonly incarnation: string; readonly availabilityZone: string};
	readonly options?: {
		readonly authentication?: 'none' | 'cleartextPassword' | 'md5Password';
		readonly users?: ReadonlyArray<{readonly name: string; readonly password?: string; readonly labels?: Readonly<Record<string, string>>}>;
		/** PEM. */
		readonly tls?: {readonly key: string; readonly cert: string};
		readonly tokenlessReads?: 'primary' | 'sessionOnly';
		readonly maximumConnections?: number;
		readonly maximumMessageBytes?: number;
	};
};

/** Serves callers over the PostgreSQL v3 protocol on a port. */
export declare class CallerServer implements Disposable {
	constructor(services: CallerServices);
	/** Port 0 takes a free one; resolves with the port, rejects when it cannot listen. */
	listen(host: string, port: number): Promise<number>;
	/** Ends connections as they become idle, the rest after the bound. */
	drain(boundMs: number): Promise<void>;
	dispose(): void;
}

// ---------------------------------------------------------------- services that come with it

/** Time of the running process. */
export declare class SystemClock implements Clock {
	nowMs(): number;
	wallClockMs(): number;
	setTimer(delayMs: number, callback: () => void): Disposable;
}

/** Randomness of the running process. */
export declare class SystemRandom implements Random {
	next(): number;
}

/** Writes events as lines of JSON to standard error, or elsewhere. */
export declare class ConsolaLog implements Log {
	constructor(options: {
		readonly node: string;
		readonly level?: 'debug' | 'info' | 'warn' | 'error';
		readonly format?: 'json' | 'pretty';
		readonly write?: (line: string) => void;
	});
	event(name: string, fields?: Readonly<Record<string, unknown>>): void;
}

/** Keeps metrics and gives them in the exposition format of Prometheus. */
export declare class PromMetrics implements Metrics {
	readonly contentType: string;
	constructor(labels?: Readonly<Record<string, string>>, options?: {readonly withProcess?: boolean});
	count(name: string, labels?: Readonly<Record<string, string>>, by?: number): void;
	gauge(name: string, value: number, labels?: Readonly<Record<string, string>>): void;
	observe(name: string, value: number, labels?: Readonly<Record<string, string>>): void;
	text(): Promise<string>;
}

/** Counts and logs broken promises; with `isFatal` it throws on them. */
export declare class InvariantChecks implements Invariants {
	constructor(log: Log, metrics: Metrics, options?: {readonly isFatal?: boolean});
	check(name: string, condition: boolean, detail: () => string): boolean;
}

/** Services that the keepers of records work with. */
export type RecordServices = Pick<NodeServices, 'table' | 'clock' | 'random' | 'log' | 'metrics'>;

/** Keeps the audit trail in the table; buffers within bounds while it is down. */
export declare class AuditTrail implements Audit, Disposable {
	/** `node` is `<name>/<incarnation>`. */
	constructor(services: RecordServices, node: string);
	record(entry: AuditEntry): void;
	dispose(): void;
}

/** Keeps the terms of groups in the table. */
export declare class TermRecords implements TermRecorder, Disposable {
	constructor(services: RecordServices);
	record(announcement: PrimaryAnnouncement, claimId: string): void;
	dispose(): void;
}

/** Reaches endpoints over TCP by the protocol of docs/ENDPOINTS.md. */
export declare class PgEndpointConnector implements EndpointConnector {
	constructor(clock: Clock, options: {
		readonly user: string;
		readonly password: string;
		readonly connectTimeoutMs?: number;
		readonly controlTimeoutMs?: number;
		readonly maximumMessageBytes?: number;
	});
	connectWork(endpoint: EndpointAddress, homeId: string): Promise<Either<EndpointFault, EndpointConnection>>;
	connectControl(endpoint: EndpointAddress, observerId: string): Promise<Either<EndpointFault, InstanceControl>>;
}

/** Signs with HMAC-SHA-256. */
export declare class HmacTokenSigner implements TokenSigner {
	constructor(key: string);
	sign(bytes: Uint8Array): Uint8Array;
}

// ---------------------------------------------------------------- the whole daemon

/** Certificate and key as PEM texts. */
export type TlsSettings = {
	readonly certificate: string;
	readonly key: string;
	/** Authority that the other side's certificate must come from. */
	readonly authority?: string;
};

/**
 * Settings of one node, defaults filled in. docs/SETTINGS.md says what each means.
 * Source: `loadSettings`, or an object built by hand.
 */
export type Settings = {
	readonly node: {readonly name: string; readonly availabilityZone: string; readonly region: string};
	readonly callers: {
		readonly host: string;
		readonly port: number;
		readonly authentication: {
			readonly method: 'none' | 'cleartext' | 'md5';
			readonly users: Array<{readonly user: string; readonly password: string; readonly labels: Record<string, string>}>;
		};
		readonly tls?: TlsSettings;
		readonly isTlsRequired: boolean;
		readonly maximumConnections: number;
		readonly maximumMessageBytes: number;
		readonly maximumBufferedBytes: number;
		readonly tokenKey: string;
		readonly previousTokenKeys: string[];
		readonly tokenlessReads: 'primary' | 'sessionOnly';
		readonly startUpTimeoutMs: number;
		readonly answerStallMs: number;
	};
	readonly peers: {readonly host: string; readonly port: number; readonly advertisedHost?: string; readonly tls?: TlsSettings};
	readonly operators: {
		readonly host: string;
		readonly port: number;
		readonly tls?: TlsSettings;
		readonly credentials: Array<{readonly user: string; readonly password: string}>;
	};
	readonly platform: {
		readonly tableEndpointUrl?: string;
		readonly objectEndpointUrl?: string;
		readonly region: string;
		readonly accessKeyId?: string;
		readonly secretAccessKey?: string;
		readonly tableName: string;
		readonly bucket: string;
		readonly connectTimeoutMs: number;
		readonly requestTimeoutMs: number;
	};
	readonly endpoints: {
		readonly user: string;
		readonly password: string;
		readonly connectTimeoutMs: number;
		readonly controlTimeoutMs: number;
	};
	readonly homes: {readonly acknowledgement: 'confirmed' | 'commit'};
	readonly logs: {readonly level: 'debug' | 'info' | 'warn' | 'error'; readonly format: 'json' | 'pretty'};
	readonly invariants: {readonly isFatal: boolean};
	readonly limits: {readonly maximumBackendMessageBytes: number};
	readonly timings: {readonly drainMs: number; readonly drainNoticeMs: number};
	/** Options of the parts by name; the numbers are chosen together. */
	readonly tuning: {
		readonly homes: Readonly<Record<string, number>>;
		readonly groups: Readonly<Record<string, number>>;
		readonly routing: Readonly<Record<string, number>>;
		readonly membership: Readonly<Record<string, number>>;
	};
};

/** A problem of a settings file. */
export type SettingsProblem = {
	readonly line: number;
	readonly column: number;
	readonly path: string;
	readonly found: string;
	readonly expected: string;
};

/** Settings that can't be used; the message has one line for each problem. */
export declare class SettingsError extends Error {
	readonly problems: readonly SettingsProblem[];
	constructor(file: string, problems: readonly SettingsProblem[]);
}

/** Reads a node's settings; a file that can't be read is a problem too. */
export declare function loadSettings(
	file: string,
	environment?: Readonly<Record<string, string | undefined>>,
): Promise<Either<SettingsError, Settings>>;

/** A node that runs. */
export type RunningNode = Disposable & {
	readonly ports: {readonly callers: number; readonly peers: number; readonly operators: number};
	/** Resolves once the configuration is in force and callers are served. */
	readonly ready: Promise<void>;
	/** Finishes what is in progress within the settings' bound, then stops. */
	drain(): Promise<void>;
};

/** Starts a whole node in this process; rejects when an address cannot be listened on. */
export declare function startNode(settings: Settings): Promise<RunningNode>;
