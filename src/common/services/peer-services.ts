/**
 * Interfaces for requests between nodes that connect to every endpoint themselves.
 */
import type {Either} from 'purify-ts';
import type {Disposable} from '../lifecycle/disposable.js';
import type {LoadReport} from '../load/load-report.js';
import type {LogPosition} from '../positions/log-position.js';
import type {
	EndpointStatement, ReportedStatus, StatementFault, TimedAnswer,
} from '../pools/types.js';
import type {EndpointAnswer, StoredRows} from './direct-services.js';

/** A node, with the address at which its peers reach it. */
export type PeerNode = {
	readonly name: string;
	readonly availabilityZone: string;
	readonly host: string;
	readonly port: number;
	/** Differs between two starts of the same name. */
	readonly incarnation: string;
	/** Processor cores that the node may use; may be a fraction. */
	readonly cores: number;
};

/** What a node knows about a group; ages are counted up to the time of its answer. */
export type GroupOverview = {
	readonly service: string;
	readonly primaryId: string;
	readonly term: number;
	/** Time since the node last heard from the primary. */
	readonly heardAgoMs: number | undefined;
	/** Time since the request was sent to the replica that proved the term. */
	readonly provedAgoMs: number | undefined;
	/**
	 * The highest term whose replacement had begun according to the store, how long ago the store was
	 * asked, and the version of the store at that time if it is known.
	 */
	readonly replacement: {readonly begunTerm: number; readonly agoMs: number; readonly version?: number} | undefined;
	/** A position that the primary was proved to have reached, and how long ago it was asked. */
	readonly sample: {readonly position: LogPosition; readonly agoMs: number} | undefined;
};

/** A notice that a node sends to its peers. */
export type PeerNotice
	= | {readonly kind: 'joined'; readonly node: PeerNode}
		| {
			readonly kind: 'left';
			readonly name: string;
			/** Incarnation that leaves; undefined if a node of an earlier version left it out. */
			readonly incarnation: string | undefined;
		}
		| {readonly kind: 'primary'; readonly service: string; readonly endpointId: string; readonly term: number}
		| {readonly kind: 'fence'; readonly service: string; readonly term: number; readonly isFenced: boolean; readonly holder: string; readonly epoch: number};

/** Requests to other nodes. A failed request resolves to the reason as text. */
export type PeerCalls = Disposable & {
	/** Sends a notice; resolves with the description of the peer once the peer has processed it. */
	tell(peer: PeerNode, notice: PeerNotice, timeoutMs: number): Promise<Either<string, PeerNode>>;
	/** Requests what a peer knows of one group, or of all groups if `service` is empty. */
	overview(peer: PeerNode, service: string, timeoutMs: number): Promise<Either<string, readonly GroupOverview[]>>;
	/** Requests the status of an endpoint over the peer; its `sentAtMs` is the time of this call. */
	status(peer: PeerNode, endpointId: string, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>>;
	/** Requests the changes of a table that the peer follows; resolves once there are any or after `waitMs`. Version zero requests all rows. */
	rows(peer: PeerNode, table: string, afterVersion: number, waitMs: number): Promise<Either<string, StoredRows>>;
	/** Whether the peer has begun to send rows of a table and has not finished; false if left out. */
	isReceivingRows?(peer: PeerNode, table: string): boolean;
	/** Runs a statement at an endpoint over the peer's connections. */
	run(peer: PeerNode, endpointId: string, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	/** Begins a transaction at an endpoint; the peer holds its connection until `end`. */
	begin(peer: PeerNode, endpointId: string, statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, ForwardedBegin>>;
	runHeld(peer: PeerNode, heldId: HeldTransactionId, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	end(peer: PeerNode, heldId: HeldTransactionId, manner: EndManner): Promise<void>;
	/** Asks a holder of an organisation's budget for operations. */
	takeUsage(peer: PeerNode, request: BudgetRequest, timeoutMs: number): Promise<Either<string, UsageGrant>>;
};

/** A request for operations out of an organisation's budget. */
export type BudgetRequest = {
	readonly organisation: string;
	/** Whether the holder of another zone's budget asks for a loan, which may be several operations; otherwise the request is for one operation. */
	readonly isLoan: boolean;
};

/** What a budget granted. */
export type UsageGrant = {
	/** Number of operations; zero if the budget is empty. */
	readonly operations: number;
	/** Time in milliseconds after which an empty budget has operations again. */
	readonly retryAfterMs: number;
};

/** How the connection of a transaction is released. */
export type EndManner = 'release' | 'rollBack' | 'close';

/** Identifies a transaction that a node holds for another one. */
export type HeldTransactionId = {
	readonly number: number;
	/** Incarnation of the holder, since numbers start again with each; undefined if a node of an earlier version left it out. */
	readonly incarnation: string | undefined;
};

/** A transaction that a peer holds, or its endpoint's refusal to begin one. */
export type ForwardedBegin = ({readonly heldId: HeldTransactionId} | {readonly answer: EndpointAnswer}) & {
	/** Load that the home of the endpoint reported. */
	readonly load?: LoadReport;
};

/** Handlers for requests of peers. */
export type PeerRequestHandlers = {
	self(): PeerNode;
	onNotice(notice: PeerNotice): void;
	/** Overview of one group, after checking whether its primary answers; of all groups if `service` is empty. */
	overview(service: string): Promise<readonly GroupOverview[]>;
	status(endpointId: string, timeoutMs: number): Promise<Either<StatementFault, ReportedStatus>>;
	/** Undefined if this node does not follow the table at present. */
	rows(table: string, afterVersion: number, waitMs: number): Promise<StoredRows | undefined>;
	run(endpointId: string, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	begin(endpointId: string, statement: EndpointStatement, isReadOnly: boolean): Promise<Either<StatementFault, ForwardedBegin>>;
	runHeld(heldId: HeldTransactionId, statement: EndpointStatement): Promise<Either<StatementFault, TimedAnswer>>;
	end(heldId: HeldTransactionId, manner: EndManner): Promise<void>;
	/** Undefined if this node does not know the organisation or may not grant anything. */
	takeUsage(request: BudgetRequest): Promise<UsageGrant | undefined>;
};

