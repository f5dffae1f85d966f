/**
 * Interfaces of a node that connects to every endpoint itself: the text protocol towards callers and
 * endpoints, the versioned row store, and the platform's promotion call.
 */
import type {Either} from 'purify-ts';
import type {SplitText} from '../catalog/split-number-field.js';
import type {Problem} from '../configuration/problems.js';
import type {ErrorKind, Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';
import type {TransactionStatus} from './endpoint-services.js';
import type {PlatformFault} from './platform-services.js';

/** How fresh the reads of a route must be. */
export type RouteKind = 'primary' | 'boundedAge' | 'sessionBounded';

/** How the sessions of one database are routed, and under which limits. */
export type Route = {
	readonly name: string;
	/** The text in which a caller's line names the database: one character for each byte. */
	readonly database: string;
	readonly service: string;
	readonly kind: RouteKind;
	/** Timeout of one statement. */
	readonly statementTimeoutMs: number;
	/** Time within which callers want an answer; undefined if the route states none. A later answer is still delivered. */
	readonly responseGoalMs: number | undefined;
	/** Lower is served first. */
	readonly priority: number;
	/** Maximum number of times that one statement may be sent to an endpoint. */
	readonly maximumAttempts: number;
	/** Maximum staleness of reads; zero if they must see the newest data. */
	readonly maximumAgeMs: number;
	/** Whether callers without an API key may use it. */
	readonly isPublic: boolean;
};

/** Limit on the operations of an organisation, over all nodes together. */
export type UsageLimit = {
	readonly perS: number;
	/** Operations beyond the rate that may arrive at once. */
	readonly burst: number;
};

/** An organisation, whose callers identify themselves with API keys. */
export type Organisation = {
	readonly name: string;
	/** Digests of its API keys; the keys themselves are not stored. */
	readonly keyDigests: readonly string[];
	/** Undefined if usage is not limited. */
	readonly usageLimit: UsageLimit | undefined;
};

/** One complete version of the configuration of routes. */
export type RouteTable = {
	readonly version: number;
	readonly routes: readonly Route[];
	/** Time after which an idle transaction is rolled back. */
	readonly transactionIdleMs: number;
	/** Connections that each endpoint of a service accepts from all nodes together, by service. */
	readonly connectionLimits: ReadonlyMap<string, number>;
	/** Organisations whose API keys are accepted; undefined if callers need no key. */
	readonly organisations: readonly Organisation[] | undefined;
	/** Problems of the entries that were left out because they cannot be used, if there are any. */
	readonly problems?: readonly Problem[];
};

/** Registration that an endpoint writes to the store. */
export type EndpointRegistration = {
	readonly id: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly host: string;
	readonly port: number;
	/** Statements that the endpoint runs at one time. */
	readonly slots: number;
	readonly isDraining: boolean;
	/** Whether the endpoint considers itself primary; lags behind its status. */
	readonly claimsPrimary: boolean;
	/** When the endpoint started, by its host's wall clock; distinguishes restarts under one id. */
	readonly startedAtMs: number | undefined;
	/** Number of this registration; counting begins again after each start of the endpoint. */
	readonly reportNumber: number;
};

/** An endpoint as this node knows it from its latest registration. */
export type RegisteredEndpoint = Omit<EndpointRegistration, 'startedAtMs' | 'reportNumber'> & {
	/** Number of restarts of the endpoint under this id that this node has noticed. */
	readonly incarnation: number;
};

/** Status that an endpoint reports on request. */
export type EndpointStatus = {
	readonly isPrimary: boolean;
	/** Term that the endpoint leads as primary or follows as replica. */
	readonly term: number;
	/** End of its log, including entries that are not applied yet. */
	readonly received: LogPosition;
	/** Term for which the replica was fenced, which stopped it from receiving; zero if it receives. */
	readonly fencedForTerm: number;
	readonly lagMs: number;
	readonly busySlots: number;
	readonly connections: number;
};

/** The parts of a caller's statement that its handling depends on. */
export type CallerStatement
	= | {readonly kind: 'begin'; readonly isReadOnly: boolean}
		| {readonly kind: 'commit' | 'rollback' | 'read' | 'write' | 'unknown'}
		| {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'prepare'; readonly name: string; readonly access: 'read' | 'write'; readonly shape: string}
		| {readonly kind: 'execute'; readonly name: string; readonly parameters: string}
		| {readonly kind: 'deallocate'; readonly name: string};

/** One message of a caller. */
export type CallerMessage
	/** `user` is an API key if the configuration has organisations. */
	= | {readonly kind: 'startUp'; readonly database: string; readonly user: string}
		| {readonly kind: 'statement'; readonly id: string; readonly text: string; readonly statement: CallerStatement}
		| {readonly kind: 'terminate'}
		| {readonly kind: 'malformed'; readonly reason: string};

/** Kinds of errors that endpoints return. */
export type EndpointErrorKind = 'busy' | 'unknownStatement' | 'behind' | 'readOnly' | 'failed' | 'timeout'
	| 'aborted' | 'wrongEndpoint' | 'tooManyConnections' | 'other';

/** One line of an endpoint's answer. */
export type AnswerLine
	= | {readonly kind: 'row'; readonly text: string}
		| {readonly kind: 'complete'}
		| {readonly kind: 'error'; readonly error: EndpointErrorKind; readonly text: string}
		| {readonly kind: 'ready'; readonly status: TransactionStatus; readonly position: LogPosition | undefined};

/** Internal statements, which a node sends on its own behalf. */
export type InternalStatement
	= | {readonly kind: 'begin'; readonly isReadOnly: boolean; readonly floor?: LogPosition}
		| {readonly kind: 'rollback' | 'discard' | 'status' | 'resume'}
		| {readonly kind: 'pause' | 'stepDown'; readonly term: number}
		| {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'prepare'; readonly name: string; readonly access: 'read' | 'write'; readonly shape: string};

/** Encoding and decoding of the text protocol. Lines are strings with one character per byte, without the line end. */
export type LineWire = {
	/** Maximum length of a line in bytes. */
	readonly maximumLineBytes: number;
	decodeCaller(line: string): CallerMessage;
	decodeAnswer(line: string): AnswerLine;
	decodeStatus(row: string): EndpointStatus | undefined;
	encodeStartUp(service: string, user: string, endpointId: string): string;
	/** Encodes a caller's statement, unchanged except for a position that the endpoint must have reached before it runs the statement. */
	encodeStatement(id: string, text: string, floor?: LogPosition): string;
	/** Encodes the execution of a prepared statement, under the name by which the connection knows it. */
	encodeExecute(id: string, name: string, parameters: string, floor?: LogPosition): string;
	encodeInternal(statement: InternalStatement): string;
	/** Whether an encoded message is longer than a line may be. */
	isTooLong(message: string): boolean;
	encodeReady(status: TransactionStatus, position?: LogPosition): string;
	/** Encodes the answer to a statement that the node ran itself, without an endpoint. */
	encodeCompletion(): string;
	encodeRefusal(refusal: Refusal): string;
	/** Whether answers of this kind guarantee that the request had no effect. */
	guaranteesNoEffect(kind: ErrorKind): boolean;
};

/** One answer of an endpoint. */
export type EndpointAnswer = {
	/** All lines except the last one, each with its line end. */
	readonly text: string;
	readonly rows: readonly string[];
	readonly error?: {readonly kind: EndpointErrorKind; readonly text: string};
	readonly status: TransactionStatus;
	readonly position: LogPosition | undefined;
};

/** Why a connection could not be opened, or did not answer. */
export type ConnectionFault = {
	readonly kind: 'refused' | 'silent' | 'closed' | 'tooManyConnections' | 'wrongEndpoint' | 'busy' | 'protocol'
		/** A line would be longer than the protocol allows, so nothing was sent. */
		| 'tooLong';
	readonly detail: string;
};

/** One connection to one endpoint. Only one exchange may be in flight. */
export type LineConnection = Disposable & {
	readonly onClose: Event<void>;
	/** Sends requests in one write; resolves with one answer for each, in order. */
	exchange(requests: readonly string[]): Promise<Either<ConnectionFault, readonly EndpointAnswer[]>>;
};

/** Opens connections to endpoints. */
export type LineConnector = {
	/** Opens a connection that belongs to an organisation, or to this node if that is undefined; the endpoint learns whose connection it is. */
	connect(endpoint: RegisteredEndpoint, organisation: string | undefined): Promise<Either<ConnectionFault, LineConnection>>;
};

/** A row of the store. */
export type StoredRow = {
	readonly table: string;
	readonly key: string;
	/** Undefined if the row was removed. */
	readonly value: string | undefined;
	/** The store's version at the row's last write. */
	readonly version: number;
};

/** A snapshot of a table, or the changes up to one version of the store. */
export type StoredRows = {
	readonly rows: readonly StoredRow[];
	/** Version of the store; increases with each transaction and when the store is restored from an older snapshot. */
	readonly version: number;
	/** The store's own monotonic clock. */
	readonly storeNowMs: number;
	/** Whether the changes since the requested version are not known, or that version no longer exists in this era of the store; the table must be read again in full. */
	readonly isHistoryGone: boolean;
	/**
	 * When the rows were proved to be the newest, in milliseconds after the request was sent. Positive if
	 * a peer delayed its answer until something changed, negative if what the peer knew was older than
	 * the request. Zero if left out: the store answers by what it holds at the time of the request or
	 * later.
	 */
	readonly provedAfterMs?: number;
	/**
	 * Whether the values are in the form in which nodes keep and exchange them, as those of other nodes
	 * are; false if left out.
	 */
	readonly areRedacted?: boolean;
	/**
	 * Whether the rows are from a node that is asked only because the store gave no answer, so that a
	 * node that follows the table over this one must not get them; false if left out.
	 */
	readonly isForOwnUseOnly?: boolean;
};

/** A write that takes effect only if the row has the expected version. */
export type ConditionalWrite = {
	readonly table: string;
	readonly partition: string;
	readonly key: string;
	readonly value: string;
	/** Version that the row must have; zero if it must not exist. */
	readonly expectedVersion: number;
};

/** The platform's store of versioned rows. */
export type RowStore = {
	read(table: string, partition: string): Promise<Either<PlatformFault, StoredRows>>;
	/** Resolves with the changes after a version as soon as there are any, or after `waitMs` at the latest. */
	follow(table: string, afterVersion: number, waitMs: number): Promise<Either<PlatformFault, StoredRows>>;
	/** Resolves with the row's new version, or with `conditionFailed`. */
	write(write: ConditionalWrite): Promise<Either<PlatformFault, {readonly version: number; readonly storeNowMs: number}>>;
};

/** The platform's call that promotes an endpoint to primary of its group. */
export type PromotionCalls = {
	promote(service: string, endpointId: string, holder: string, epoch: number): Promise<Either<PlatformFault, void>>;
};

/** Decodes rows of the store; the decoders return undefined for rows that are not valid. */
export type RowFormats = {
	readonly configurationTable: string;
	readonly configurationKey: string;
	readonly endpointTable: string;
	decodeRoutes(value: string): RouteTable | undefined;
	/** Replaces API keys in a configuration by their digests; nodes keep and exchange only this form. */
	redactKeys(value: string): string;
	/** The digest that identifies an API key, given the text in which a caller's line holds it. */
	digestOf(lineText: string): string;
	decodeEndpoint(key: string, value: string): EndpointRegistration | undefined;
	/**
	 * Splits an endpoint's row into its report number and the rest, which is equal for two rows only if
	 * they differ in nothing else; undefined if that can't be told without decoding the row.
	 */
	splitReport(value: string): SplitText | undefined;
};
