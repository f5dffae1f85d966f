/**
 * Interfaces for requests between nodes, for membership, and for connections to peers.
 */
import type {Either} from 'purify-ts';
import type {Refusal, ViewCorrection} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';
import type {AnswerSink, InstanceState, TransactionStatus} from './endpoint-services.js';

/** Effect of a request on the transaction state, as far as the entry node can tell. */
export type TransactionStep = 'none' | 'begin' | 'commit' | 'rollback';

/** A request cycle that is sent to the home of an endpoint. */
export type HomeRequest = {
	readonly group: string;
	readonly endpoint: string;
	/** Identifies the caller's session on its entry node; a transaction is bound to it. */
	readonly sessionId: string;
	/** Name of the caller for limits and priorities. */
	readonly caller: string;
	/** Whole frontend messages that end in one ReadyForQuery. */
	readonly frames: Uint8Array;
	readonly access: 'read' | 'write';
	readonly step: TransactionStep;
	/** Whether the session already holds a transaction on this home. */
	readonly isInTransaction: boolean;
	/** Whether the caller declared the request idempotent. */
	readonly isIdempotent: boolean;
	/** Position that the endpoint must have applied. */
	readonly minimumPosition: LogPosition;
	/** Maximum acceptable staleness of the data; undefined if none is stated. */
	readonly maximumAgeMs?: number;
	/**
	 * The answer must be as fresh as the group's current primary: the home proves by a
	 * majority that the term still stands after the request arrived.
	 */
	readonly isFreshnessProved: boolean;
	/** Time left when the request was handed over. */
	readonly timeLeftMs: number;
	/** Among queued requests, a lower value is served first. */
	readonly priority: number;
	/** Idle time after which the home rolls a transaction back. */
	readonly transactionIdleMs: number;
};

/** Result of a request at the home. */
export type HomeEnd = {
	readonly transactionStatus: TransactionStatus;
	readonly position: LogPosition;
	/** Whether the home still holds a connection for the session. */
	readonly isHeld: boolean;
	readonly errorSqlState?: string;
	/** Time that the request spent in the home's queue. */
	readonly queuedMs: number;
	/** Upper bound on the staleness of the data, if the home knows one. */
	readonly ageMs?: number;
	/** The group as the home knows it, so that the requester can correct its view. */
	readonly correction?: ViewCorrection;
};

/** Executes request cycles at the home of an endpoint, on this node or on a peer. */
export type HomeExecutor = {
	/**
	 * Runs one request cycle. A refusal after the first push is `answerCutShort` or
	 * `outcomeUnknown`; before it, its kind tells whether the request ran.
	 */
	execute(request: HomeRequest, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, HomeEnd>>;
	/** Releases what the session holds: rolls its transaction back and frees its connection. */
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

/** A host of the system, as reported by the platform's host list or by a peer. */
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

/** The hosts that this node knows. This is only a hint: wrong information costs a refusal or a retry. */
export type Membership = {
	readonly self: Host;
	readonly onChange: Event<void>;
	/** Hosts that are believed to exist, including those that are leaving. */
	hosts(): readonly Host[];
	host(name: string): Host | undefined;
	/** Home of an endpoint, by rendezvous hashing over the hosts of its zone that are not leaving. */
	homeOf(endpoint: {readonly name: string; readonly availabilityZone: string}): Host | undefined;
	/** Records whether a peer answered. */
	reportReachability(name: string, isReachable: boolean): void;
	/** Records what a peer reported about itself. */
	learn(host: Host): void;
	/** Announces that this host is leaving. */
	leave(): void;
};

/** Sends requests to peers. Connections are opened on demand and closed when idle. */
export type Peers = Disposable & {
	/** Executor that runs requests on a peer; refuses with `peerUnavailable` if a request certainly did not arrive. */
	executorOf(host: Host): HomeExecutor;
	/** Requests the peer's view of a group. */
	groupView(host: Host, group: string, timeoutMs: number): Promise<Either<Refusal, GroupView>>;
	/** Checks whether the peer is alive, and returns its host entry and configuration version. */
	probe(host: Host, timeoutMs: number): Promise<Either<Refusal, PeerProbe>>;
	/** Tells a peer that a group has a new primary. */
	announcePrimary(host: Host, announcement: PrimaryAnnouncement): void;
	/** Fetches configuration changes after a version; the number of changes per answer is bounded. */
	fetchChanges(host: Host, afterNumber: number, timeoutMs: number): Promise<Either<Refusal, ChangeBatch>>;
	/** Announces to a peer that configuration changes up to this version exist. */
	announceVersion(host: Host, version: number): void;
	/** Asks the previous home of an endpoint to hand it over: the peer finishes running statements and detaches. */
	handOver(host: Host, endpoint: string, timeoutMs: number): Promise<Either<Refusal, void>>;
	/** Announces to a peer that this host is leaving. */
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
	/** JSON of a snapshot that precedes the changes, if the requester was too far behind. */
	readonly snapshot?: string;
};

/** Handlers for requests of peers; the peer server calls them. */
export type PeerHandlers = {
	readonly executor: HomeExecutor;
	groupView(group: string): GroupView;
	probe(): PeerProbe;
	onPrimaryAnnounced(announcement: PrimaryAnnouncement): void;
	changesAfter(afterNumber: number): ChangeBatch;
	onVersionAnnounced(from: string, version: number): void;
	handOver(endpoint: string): Promise<void>;
	onLeavingAnnounced(name: string): void;
	/** Releases what the sessions of a lost peer hold on this node. */
	onPeerLost(name: string): void;
};
