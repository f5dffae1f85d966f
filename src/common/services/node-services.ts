/**
 * Requests between nodes, who the nodes are, and how they reach each other.
 */
import type {Either} from 'purify-ts';
import type {Refusal, ViewCorrection} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';
import type {AnswerSink, InstanceState, TransactionStatus} from './endpoint-services.js';

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
