/**
 * What nodes that reach every endpoint themselves ask of each other.
 */
import type {Either} from 'purify-ts';
import type {Disposable} from '../lifecycle/disposable.js';
import type {LogPosition} from '../positions/log-position.js';
import type {
	EndpointStatement, ReportedStatus, StatementFault, TimedAnswer,
} from '../pools/types.js';
import type {EndpointAnswer, StoredRows} from './direct-services.js';

/** A node as others reach it. */
export type PeerNode = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly host: string;
	readonly port: number;
	/** Differs between two starts of the same name. */
	readonly incarnation: string;
	/** Processor cores that it may use, fractions included. */
	readonly cores: number;
};

/** What a node knows about a group; ages were counted when it answered. */
export type GroupOverview = {
	readonly service: string;
	readonly primaryId: string;
	readonly term: number;
	/** Since the primary last said anything to the node. */
	readonly heardAgoMs: number | undefined;
	/** Since a replica was asked that proved the term. */
	readonly provedAgoMs: number | undefined;
	/**
	 * The highest term that somebody had begun to replace, by the store's word, when the store was
	 * asked, and its version then where that is known.
	 */
	readonly replacement: {readonly begunTerm: number; readonly agoMs: number; readonly version?: number} | undefined;
	/** A position that the primary was proved to have, and when it was asked. */
	readonly sample: {readonly position: LogPosition; readonly agoMs: number} | undefined;
};

/** Something that nodes tell each other. */
export type PeerNotice
	= | {readonly kind: 'joined'; readonly node: PeerNode}
		| {readonly kind: 'left'; readonly name: string}
		| {readonly kind: 'primary'; readonly service: string; readonly endpointId: string; readonly term: number}
		| {readonly kind: 'fence'; readonly service: string; readonly term: number; readonly isFenced: boolean; readonly holder: string; readonly epoch: number};

/** Calls to other nodes. A fault is the reason as text. */
export type PeerCalls = Disposable & {
	/** Resolves with the told node itself once it has taken the notice in. */
	tell(peer: PeerNode, notice: PeerNotice, timeoutMs: number): Promise<Either<string, PeerNode>>;
	/** What a node knows of one group, or of all with an empty name. */
	overview(peer: PeerNode, service: string, timeoutMs: number): Promise<Either<string, readonly GroupOverview[]>>;
	/** What an endpoint that the peer connects to says of itself; counted from this call. */
	status(peer: PeerNode, endpointId: string, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>>;
	/** Changes of a table that the peer follows, once there are some or the time is over; all rows after version zero. */
	rows(peer: PeerNode, table: string, afterVersion: number, waitMs: number): Promise<Either<string, StoredRows>>;
	/** Runs a statement at an endpoint that the peer reaches. */
	run(peer: PeerNode, endpointId: string, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	/** Begins a transaction there; it stays at the peer until it is ended. */
	begin(peer: PeerNode, endpointId: string, statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, ForwardedBegin>>;
	runHeld(peer: PeerNode, heldId: number, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	end(peer: PeerNode, heldId: number, manner: EndManner): Promise<void>;
	/** Asks a node that keeps an organisation's budget for operations. */
	takeUsage(peer: PeerNode, ask: BudgetRequest, timeoutMs: number): Promise<Either<string, UsageGrant>>;
};

/** A question for operations of an organisation. */
export type BudgetRequest = {
	readonly organisation: string;
	/** Whether it comes from the keeper of another zone's budget, which may get several; else for one. */
	readonly isLoan: boolean;
};

/** What a budget gave out. */
export type UsageGrant = {
	/** Zero where the budget is empty. */
	readonly operations: number;
	/** When an empty budget has room again. */
	readonly retryAfterMs: number;
};

/** How a transaction's connection is given back. */
export type EndManner = 'release' | 'rollBack' | 'close';

/** A transaction that a peer holds, or its endpoint's refusal to begin one. */
export type ForwardedBegin = {readonly heldId: number} | {readonly answer: EndpointAnswer};

/** What a node answers its peers. */
export type PeerRequestHandlers = {
	self(): PeerNode;
	onNotice(notice: PeerNotice): void;
	/** Of one group, after a look whether its primary answers; of all with an empty name. */
	overview(service: string): Promise<readonly GroupOverview[]>;
	status(endpointId: string, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>>;
	/** Undefined where the table is not followed at the moment. */
	rows(table: string, afterVersion: number, waitMs: number): Promise<StoredRows | undefined>;
	run(endpointId: string, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	begin(endpointId: string, statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, ForwardedBegin>>;
	runHeld(heldId: number, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	end(heldId: number, manner: EndManner): Promise<void>;
	/** Undefined where this node does not know the organisation, or may give nothing out. */
	takeUsage(ask: BudgetRequest): Promise<UsageGrant | undefined>;
};

