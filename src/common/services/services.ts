/**
 * Interfaces of every service, and the tokens they are injected by.
 *
 * Time, randomness, peers, the platform and the database group are each reached through
 * one interface here, so that the same node code runs in a daemon, in a test with fakes
 * and inside another program.
 */
import type {Either} from 'purify-ts';
import type {Refusal, ViewCorrection} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';
import type {invariants} from '../invariants/invariant-names.js';
import type {logEvents} from '../observability/log-events.js';
import type {metrics} from '../observability/metric-names.js';

/** Monotonic time and timers. */
export type Clock = {
	/** Monotonic milliseconds with an arbitrary origin. */
	nowMs(): number;
	/** Wall-clock time for people and audit entries only; no decision rests on it. */
	wallClockMs(): number;
	/** Calls back once after a delay. */
	setTimer(delayMs: number, callback: () => void): Disposable;
};

/** Seedable randomness. */
export type Random = {
	/** Uniform in [0, 1). */
	next(): number;
};

/** Structured, numbered log events. The numbers and names are in log-events.ts. */
export type Log = {
	event(name: LogEventName, fields?: Readonly<Record<string, unknown>>): void;
};
export type LogEventName = keyof typeof logEvents;

/** Counters, gauges and histograms of decisions. The names are in metric-names.ts. */
export type Metrics = {
	count(name: MetricName, labels?: Readonly<Record<string, string>>, by?: number): void;
	gauge(name: MetricName, value: number, labels?: Readonly<Record<string, string>>): void;
	observe(name: MetricName, value: number, labels?: Readonly<Record<string, string>>): void;
};
export type MetricName = keyof typeof metrics;

// ---------------------------------------------------------------- database groups

/** Where an endpoint is reached, as the configuration in force says. */
export type EndpointAddress = {
	readonly name: string;
	readonly group: string;
	readonly availabilityZone: string;
	readonly host: string;
	readonly port: number;
};

export type InstanceRole = 'primary' | 'replica' | 'rebuilding';

/** What an instance of a database group says about itself. */
export type InstanceState = {
	readonly role: InstanceRole;
	/** Highest term it promised to follow; it refuses the log of every lower term. */
	readonly promisedTerm: number;
	/** Claim that the promised term was raised by; empty in the first term. */
	readonly claimId: string;
	/** End of its log: what it would keep through a promotion. */
	readonly received: LogPosition;
	/** What its reads see. Equal to `received` on a primary. */
	readonly applied: LogPosition;
	/** Whether a replica's replication stream is alive; true on a primary. */
	readonly isStreaming: boolean;
};

/** Why an exchange with an endpoint failed. */
export type EndpointFault = {
	/** False only when no byte of the request can have reached the endpoint. */
	readonly mayHaveReached: boolean;
	readonly detail: string;
	/** SQLSTATE when the endpoint refused in its own words. */
	readonly sqlState?: string;
};

/** Receives whole framed backend messages; resolves when the receiver can take more. */
export type AnswerSink = {
	push(frames: Uint8Array): void | Promise<void>;
};

export type TransactionStatus = 'idle' | 'open' | 'failed';

/** How one request cycle ended at an endpoint. */
export type ExchangeEnd = {
	readonly transactionStatus: TransactionStatus;
	/** The endpoint's applied position after the cycle, from its own report. */
	readonly position: LogPosition;
	/** SQLSTATE of the first ErrorResponse of the cycle, if there was one. */
	readonly errorSqlState?: string;
};

/** One work connection to one endpoint. One exchange at a time. */
export type EndpointConnection = Disposable & {
	readonly onClose: Event<void>;
	/**
	 * Sends whole frontend messages that end in one ReadyForQuery; pushes whole backend
	 * messages up to, but without, that ReadyForQuery.
	 */
	exchange(frames: Uint8Array, sink: AnswerSink): Promise<Either<EndpointFault, ExchangeEnd>>;
	/** Asks the endpoint to cancel what runs on this connection; best effort. */
	cancel(): void;
};

/** What a control order answered. */
export type TermClaim = {
	readonly isAccepted: boolean;
	readonly state: InstanceState;
};

/** One control connection to one instance, outside its slots. */
export type InstanceControl = Disposable & {
	readonly onClose: Event<void>;
	/** Fires on every report, also the spontaneous ones; coalesced by the instance. */
	readonly onState: Event<InstanceState>;
	/** Asks for the state; the answer was made after the call. */
	readState(): Promise<Either<EndpointFault, InstanceState>>;
	/** Raises the promised term; accepted only if higher, or the same with the same claim. */
	raiseTerm(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>>;
	/** Makes the instance primary of the term that it promised to this claim. */
	promote(term: number, claimId: string): Promise<Either<EndpointFault, TermClaim>>;
	/** Makes the instance follow the primary of a term that is at least the promised one. */
	follow(term: number, primary: EndpointAddress): Promise<Either<EndpointFault, TermClaim>>;
	/**
	 * Claims the instance's work connections for one home. The instance refuses work of any
	 * other home; with `isForced` it closes the other home's connections first.
	 */
	attach(homeId: string, isForced: boolean): Promise<Either<EndpointFault, {isAttached: boolean; holder: string}>>;
	/** Gives the claim up. */
	detach(homeId: string): Promise<Either<EndpointFault, void>>;
};

/** Opens connections to endpoints. */
export type EndpointConnector = {
	connectWork(endpoint: EndpointAddress, homeId: string): Promise<Either<EndpointFault, EndpointConnection>>;
	connectControl(endpoint: EndpointAddress, observerId: string): Promise<Either<EndpointFault, InstanceControl>>;
};

// ---------------------------------------------------------------- requests between nodes

/** What a request does to transaction state, as far as the entry node can tell. */
export type TransactionStep = 'none' | 'begin' | 'commit' | 'rollback';

/** A request cycle on its way to the home of an endpoint. */
export type HomeRequest = {
	readonly group: string;
	readonly endpoint: string;
	/** Identifies the caller's session on its entry node; pins transactions. */
	readonly sessionId: string;
	/** Name of the caller for limits and priorities. */
	readonly caller: string;
	/** Whole frontend messages that end in one ReadyForQuery. */
	readonly frames: Uint8Array;
	readonly access: 'read' | 'write';
	readonly step: TransactionStep;
	/** Whether the session holds a transaction on this home already. */
	readonly isInTransaction: boolean;
	/** Whether running it twice does no harm, by the caller's word. */
	readonly isIdempotent: boolean;
	/** The endpoint must have applied this much. */
	readonly minimumPosition: LogPosition;
	/** Largest acceptable age of the data; undefined for none stated. */
	readonly maximumAgeMs?: number;
	/**
	 * The answer must be as fresh as the group's current primary: the home proves by a
	 * majority that the term still stands after the request arrived.
	 */
	readonly isFreshnessProved: boolean;
	/** Time left when the request was handed over. */
	readonly timeLeftMs: number;
	/** Lower is served first among those waiting. */
	readonly priority: number;
	/** Longest idle time of a transaction before the home rolls it back. */
	readonly transactionIdleMs: number;
};

/** How a request ended at the home. */
export type HomeEnd = {
	readonly transactionStatus: TransactionStatus;
	readonly position: LogPosition;
	/** Whether the session's connection is still held for it. */
	readonly isHeld: boolean;
	readonly errorSqlState?: string;
	/** Time spent in the home's queue. */
	readonly queuedMs: number;
	/** Age of the data, where the home knows a bound. */
	readonly ageMs?: number;
	/** The group as the home sees it, so that the asker's view follows. */
	readonly correction?: ViewCorrection;
};

/** Executes request cycles at the home of an endpoint, on this node or on a peer. */
export type HomeExecutor = {
	/**
	 * Runs one request cycle. A refusal after the first push is `answerCutShort` or
	 * `outcomeUnknown`; before it, its kind tells whether the request ran.
	 */
	execute(request: HomeRequest, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, HomeEnd>>;
	/** Ends what the session holds: rolls its transaction back and frees its connection. */
	release(group: string, endpoint: string, sessionId: string): void;
};

/** What a home of one of a group's endpoints knows about the group. */
export type GroupView = {
	readonly group: string;
	/** Highest term with a known primary; zero when none is known. */
	readonly term: number;
	readonly primary: string;
	readonly instances: readonly InstanceView[];
};

/** What is known about one instance of a group. */
export type InstanceView = {
	readonly endpoint: string;
	readonly isReachable: boolean;
	/** How long ago the state was reported. */
	readonly reportedAgoMs: number;
	readonly state?: InstanceState;
};

// ---------------------------------------------------------------- nodes

/** A host of the system, as the platform's list or a peer says. */
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

/** Who is there. Only a hint: a wrong belief costs a refusal or a detour. */
export type Membership = {
	readonly self: Host;
	readonly onChange: Event<void>;
	/** Hosts believed to be there, leaving ones included. */
	hosts(): readonly Host[];
	host(name: string): Host | undefined;
	/** Home of an endpoint by rendezvous hashing over its zone's hosts that are not leaving. */
	homeOf(endpoint: {readonly name: string; readonly availabilityZone: string}): Host | undefined;
	/** Notes that a peer did not answer, or did. */
	reportReachability(name: string, isReachable: boolean): void;
	/** Notes what a peer said about itself. */
	learn(host: Host): void;
	/** Announces that this host is leaving. */
	leave(): void;
};

/** Reaches peers. Connections are opened on demand and closed when idle. */
export type Peers = Disposable & {
	/** Executes on a peer; the refusal is `peerUnavailable` when it certainly did not arrive. */
	executorOf(host: Host): HomeExecutor;
	/** What the peer knows of a group. */
	groupView(host: Host, group: string, timeoutMs: number): Promise<Either<Refusal, GroupView>>;
	/** Asks whether the peer lives, and what it sees of a group's primary. */
	probe(host: Host, timeoutMs: number): Promise<Either<Refusal, PeerProbe>>;
	/** Tells a peer that a group has a new primary. */
	announcePrimary(host: Host, announcement: PrimaryAnnouncement): void;
	/** Asks for changes after a number; answers with at most a bounded count. */
	fetchChanges(host: Host, afterNumber: number, timeoutMs: number): Promise<Either<Refusal, ChangeBatch>>;
	/** Tells a peer that changes up to this number exist. */
	announceVersion(host: Host, version: number): void;
	/** Asks a former home to let an endpoint go: it finishes what runs and detaches. */
	handOver(host: Host, endpoint: string, timeoutMs: number): Promise<Either<Refusal, void>>;
	/** Tells a peer that this host is leaving. */
	announceLeaving(host: Host): void;
};

export type PeerProbe = {
	readonly host: Host;
	readonly configurationVersion: number;
};

export type PrimaryAnnouncement = {
	readonly group: string;
	readonly term: number;
	readonly primary: string;
};

export type ChangeBatch = {
	readonly version: number;
	/** JSON of each change, in order. */
	readonly changes: readonly string[];
	/** JSON of a snapshot that the changes come after, when the asker was too far behind. */
	readonly snapshot?: string;
};

/** What peers ask of this node; the peer server calls these. */
export type PeerHandlers = {
	readonly executor: HomeExecutor;
	groupView(group: string): GroupView;
	probe(): PeerProbe;
	onPrimaryAnnounced(announcement: PrimaryAnnouncement): void;
	changesAfter(afterNumber: number): ChangeBatch;
	onVersionAnnounced(from: string, version: number): void;
	handOver(endpoint: string): Promise<void>;
	onLeavingAnnounced(name: string): void;
	/** Ends what a lost peer's sessions hold on this node. */
	onPeerLost(name: string): void;
};

// ---------------------------------------------------------------- configuration in force

/** A database group as the configuration in force describes it. */
export type GroupDefinition = {
	readonly name: string;
	readonly service: string;
	readonly labels: Readonly<Record<string, string>>;
	readonly endpoints: readonly EndpointDefinition[];
};

/** One endpoint of a group. */
export type EndpointDefinition = EndpointAddress & {
	readonly labels: Readonly<Record<string, string>>;
	/** Statements that may run at one time. */
	readonly slots: number;
	/** Connections the endpoint accepts, control connections included. */
	readonly connections: number;
};

/** Who sends a statement. */
export type CallerDescription = {
	readonly user: string;
	readonly applicationName: string;
	readonly availabilityZone: string;
	readonly labels: Readonly<Record<string, string>>;
};

/** What the rules say for one caller and one group, defaults filled in. */
export type CallerPolicy = {
	/** Where certain reads may go. */
	readonly reads: 'replicas' | 'primary';
	/** Largest acceptable age of reads; undefined where only the session's own token bounds them. */
	readonly maximumAgeMs?: number;
	/** Lower is served first. */
	readonly priority: number;
	/** Statements of this caller that may be in progress at one time on one node. */
	readonly maximumInProgress: number;
	/** Time a statement has when the caller states none. */
	readonly deadlineMs: number;
	/** Times the proxy may send again what certainly did not run. */
	readonly maximumRetries: number;
	readonly transactionIdleMs: number;
};

/** What the rules say for one endpoint. */
export type EndpointPolicy = {
	readonly isDraining: boolean;
	readonly acceptsReads: boolean;
	/** Higher is preferred as primary; zero by default. */
	readonly primaryPreference: number;
	/** Whether an operator ordered this endpoint to be primary. */
	readonly isOrderedPrimary: boolean;
};

/** The configuration in force on this node. Versions only go up. */
export type Configuration = {
	readonly version: number;
	readonly onChange: Event<number>;
	groups(): readonly GroupDefinition[];
	group(name: string): GroupDefinition | undefined;
	callerPolicy(caller: CallerDescription, group: string): CallerPolicy;
	endpointPolicy(endpoint: string): EndpointPolicy;
};

// ---------------------------------------------------------------- decisions of a group

/**
 * Follows one group from a node that serves one of its endpoints: holds a control
 * connection to every instance, detects the loss of the primary and takes part in promotion.
 */
export type GroupMonitor = {
	readonly group: string;
	readonly onChange: Event<GroupView>;
	view(): GroupView;
	/** Resolves once a majority of instances holds the position in its own term; refuses `outcomeUnknown` when the term has been replaced or the time is over. */
	confirm(position: LogPosition, timeoutMs: number): Promise<Either<Refusal, void>>;
	/**
	 * Proves, by a majority that answered after the call, which term and primary position
	 * the group has. Calls made while one proof is on its way share the next one.
	 */
	prove(timeoutMs: number): Promise<Either<Refusal, LogPosition>>;
	/** Upper bound on the age of what an endpoint's reads see; undefined when not known. */
	ageMs(endpoint: string): number | undefined;
	/** Moves the primary to an endpoint, or to the best one, without waiting for a failure. */
	orderPromotion(endpoint?: string): Promise<Either<Refusal, GroupView>>;
	/** Control connection to an instance while it lasts. */
	control(endpoint: string): InstanceControl | undefined;
	/** Takes in what another node says about the group's primary. */
	learnPrimary(announcement: PrimaryAnnouncement): void;
};

/** The monitors of this node; kept for the groups that it serves an endpoint of. */
export type Groups = Disposable & {
	monitor(group: string): GroupMonitor;
	/** The monitor if this node keeps one. */
	existing(group: string): GroupMonitor | undefined;
};

/** An act that the audit trail records. */
export type AuditEntry = {
	readonly actor: string;
	readonly act: string;
	readonly subject: string;
	readonly basis: string;
	readonly outcome: string;
};

/** Keeps the audit trail in the platform's service; buffers within bounds while it is down. */
export type Audit = {
	record(entry: AuditEntry): void;
};

/** Checks invariants inside the program. */
export type Invariants = {
	/** Counts and logs a broken invariant; throws where the program runs under test. Returns the condition. */
	check(name: InvariantName, condition: boolean, detail: () => string): boolean;
};
export type InvariantName = keyof typeof invariants;

// ---------------------------------------------------------------- routing

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

// ---------------------------------------------------------------- platform

/** Why the platform did not answer as asked. */
export type PlatformFault = {
	/** `conditionFailed`: certainly not applied. `unavailable`: the outcome may be either. `throttled`: not applied. */
	readonly kind: 'conditionFailed' | 'unavailable' | 'throttled' | 'invalid';
	readonly detail: string;
};

/** An item of the table: a partition key, a sort key and a JSON body. */
export type TableItem = {
	readonly partition: string;
	readonly sort: string;
	/** Grows by one with every write of the item. */
	readonly revision: number;
	/** Identity of the change that wrote it; finds the outcome of a lost answer by reading. */
	readonly changeId: string;
	readonly body: string;
	/** Time on the platform's clock after which the platform may delete the item; undefined keeps it. */
	readonly expiresAtMs?: number;
};

/** The platform's transactional table service. */
export type Table = {
	get(partition: string, sort: string): Promise<Either<PlatformFault, TableItem | undefined>>;
	/** Items of a partition with sort keys after one, in order, at most `limit`. */
	query(partition: string, afterSort: string, limit: number): Promise<Either<PlatformFault, readonly TableItem[]>>;
	/**
	 * Writes an item if its revision is still `expectedRevision` (0: absent). A write of
	 * the same change identity that took effect before counts as done.
	 */
	put(item: Omit<TableItem, 'revision'>, expectedRevision: number): Promise<Either<PlatformFault, TableItem>>;
	/** Writes several items, all or none. */
	putAll(items: ReadonlyArray<{readonly item: Omit<TableItem, 'revision'>; readonly expectedRevision: number}>): Promise<Either<PlatformFault, void>>;
};

/** The platform's object store. */
export type Objects = {
	get(key: string): Promise<Either<PlatformFault, {readonly body: string; readonly etag: string} | undefined>>;
	put(key: string, body: string): Promise<Either<PlatformFault, {readonly etag: string}>>;
};

/** The platform's list of live and leaving hosts; it lags. */
export type HostList = {
	read(): Promise<Either<PlatformFault, readonly Host[]>>;
	/** Registers this host; the platform keeps the registration while it is renewed. */
	register(host: Host): Promise<Either<PlatformFault, void>>;
};

/** Tokens of the services that a host lends to the node core, for a container to hold them by. */
export const tokens = {
	clock: Symbol('Clock'),
	random: Symbol('Random'),
	log: Symbol('Log'),
	metrics: Symbol('Metrics'),
	connector: Symbol('EndpointConnector'),
	table: Symbol('Table'),
	objects: Symbol('Objects'),
	hostList: Symbol('HostList'),
	audit: Symbol('Audit'),
	invariants: Symbol('Invariants'),
} as const;
