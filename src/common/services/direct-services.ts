/**
 * What a node needs where every node reaches every endpoint itself: a text protocol towards
 * callers and endpoints, a versioned row store, and the platform's call that promotes.
 */
import type {Either} from 'purify-ts';
import type {ErrorKind, Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import type {LogPosition} from '../positions/log-position.js';
import type {TransactionStatus} from './endpoint-services.js';
import type {PlatformFault} from './platform-services.js';

/** How fresh the reads of a route must be. */
export type RouteKind = 'primary' | 'boundedAge' | 'sessionBounded';

/** Where the sessions of one database go, and under which limits. */
export type Route = {
	readonly name: string;
	readonly database: string;
	readonly service: string;
	readonly kind: RouteKind;
	/** Longest time of one statement. */
	readonly statementTimeoutMs: number;
	/** Lower is served first. */
	readonly priority: number;
	/** Times that one statement may be sent to an endpoint. */
	readonly maximumAttempts: number;
	/** Largest age of what a read may show; zero where only the newest will do. */
	readonly maximumAgeMs: number;
	/** Whether callers without an API key may use it. */
	readonly isPublic: boolean;
};

/** How many operations an organisation may run, over all nodes. */
export type UsageLimit = {
	readonly perS: number;
	/** Operations beyond the rate that may come at one time. */
	readonly burst: number;
};

/** An organisation whose callers show API keys. */
export type Organisation = {
	readonly name: string;
	/** Digests of its keys; the keys themselves are kept nowhere. */
	readonly keyDigests: readonly string[];
	/** Undefined where there is no bound. */
	readonly usageLimit: UsageLimit | undefined;
};

/** One version of the routes in full. */
export type RouteTable = {
	readonly version: number;
	readonly routes: readonly Route[];
	/** Time after which an idle transaction is rolled back. */
	readonly transactionIdleMs: number;
	/** Connections that each endpoint of a service accepts from all nodes together, by service. */
	readonly connectionLimits: ReadonlyMap<string, number>;
	/** Organisations whose keys let callers in; undefined where callers need no key. */
	readonly organisations: readonly Organisation[] | undefined;
};

/** What an endpoint says of itself in the store. */
export type EndpointRegistration = {
	readonly id: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly host: string;
	readonly port: number;
	/** Statements that it runs at one time. */
	readonly slots: number;
	readonly isDraining: boolean;
	/** How it sees itself; lags behind what it says when asked. */
	readonly claimsPrimary: boolean;
	/** When it started, on its host's time of day; tells its starts under one id apart. */
	readonly startedAtMs: number | undefined;
	/** Counts what it says of itself, anew after each start. */
	readonly reportNumber: number;
};

/** An endpoint as this node knows it from its registration. */
export type RegisteredEndpoint = Omit<EndpointRegistration, 'startedAtMs' | 'reportNumber'> & {
	/** Counts its starts under this id that this node has noticed. */
	readonly incarnation: number;
};

/** What an endpoint says about itself when asked. */
export type EndpointStatus = {
	readonly isPrimary: boolean;
	/** Term that it leads or follows. */
	readonly term: number;
	/** End of its log, applied or not. */
	readonly received: LogPosition;
	/** Term for which it stopped receiving; zero when it receives. */
	readonly fencedForTerm: number;
	readonly lagMs: number;
	readonly busySlots: number;
	readonly connections: number;
};

/** A caller's statement, as far as its handling depends on it. */
export type CallerStatement
	= | {readonly kind: 'begin'; readonly isReadOnly: boolean}
		| {readonly kind: 'commit' | 'rollback' | 'read' | 'write' | 'unknown'}
		| {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'prepare'; readonly name: string; readonly access: 'read' | 'write'; readonly shape: string}
		| {readonly kind: 'execute'; readonly name: string; readonly parameters: string}
		| {readonly kind: 'deallocate'; readonly name: string};

/** One message of a caller. */
export type CallerMessage
	/** `user` is an API key where the configuration names organisations. */
	= | {readonly kind: 'startUp'; readonly database: string; readonly user: string}
		| {readonly kind: 'statement'; readonly id: string; readonly text: string; readonly statement: CallerStatement}
		| {readonly kind: 'terminate'}
		| {readonly kind: 'malformed'; readonly reason: string};

/** Errors in an endpoint's own words. */
export type EndpointErrorKind = 'busy' | 'unknownStatement' | 'behind' | 'readOnly' | 'failed' | 'timeout'
	| 'aborted' | 'wrongEndpoint' | 'tooManyConnections' | 'other';

/** One line of an endpoint's answer. */
export type AnswerLine
	= | {readonly kind: 'row'; readonly text: string}
		| {readonly kind: 'complete'}
		| {readonly kind: 'error'; readonly error: EndpointErrorKind; readonly text: string}
		| {readonly kind: 'ready'; readonly status: TransactionStatus; readonly position: LogPosition | undefined};

/** Statements that a node issues itself. */
export type InternalStatement
	= | {readonly kind: 'begin'; readonly isReadOnly: boolean; readonly floor?: LogPosition}
		| {readonly kind: 'rollback' | 'discard' | 'status' | 'resume'}
		| {readonly kind: 'pause' | 'stepDown'; readonly term: number}
		| {readonly kind: 'set'; readonly name: string; readonly value: string}
		| {readonly kind: 'prepare'; readonly name: string; readonly access: 'read' | 'write'; readonly shape: string};

/** The text protocol. Lines are strings of one character a byte, without their end. */
export type LineWire = {
	/** Longest line. */
	readonly maximumLineBytes: number;
	decodeCaller(line: string): CallerMessage;
	decodeAnswer(line: string): AnswerLine;
	decodeStatus(row: string): EndpointStatus | undefined;
	encodeStartUp(service: string, user: string, endpointId: string): string;
	/** A caller's statement, unchanged but for a position that the endpoint's log must hold first. */
	encodeStatement(id: string, text: string, floor?: LogPosition): string;
	/** A caller's call of a prepared statement, under the name that the connection knows it by. */
	encodeExecute(id: string, name: string, parameters: string, floor?: LogPosition): string;
	encodeInternal(statement: InternalStatement): string;
	encodeReady(status: TransactionStatus, position?: LogPosition): string;
	/** Answer to a statement that the node carried out itself. */
	encodeCompletion(): string;
	encodeRefusal(refusal: Refusal): string;
	/** Kinds whose answers promise that nothing of the request is kept. */
	guaranteesNoEffect(kind: ErrorKind): boolean;
};

/** One answer of an endpoint. */
export type EndpointAnswer = {
	/** Its lines up to, but without, the last one, each with its line end. */
	readonly text: string;
	readonly rows: readonly string[];
	readonly error?: {readonly kind: EndpointErrorKind; readonly text: string};
	readonly status: TransactionStatus;
	readonly position: LogPosition | undefined;
};

/** Why a connection could not be opened, or did not answer. */
export type ConnectionFault = {
	readonly kind: 'refused' | 'silent' | 'closed' | 'tooManyConnections' | 'wrongEndpoint' | 'busy' | 'protocol';
	readonly detail: string;
};

/** One connection to one endpoint. One exchange at a time. */
export type LineConnection = Disposable & {
	readonly onClose: Event<void>;
	/** Sends requests in one write; resolves with one answer each, in order. */
	exchange(requests: readonly string[]): Promise<Either<ConnectionFault, readonly EndpointAnswer[]>>;
};

/** Opens connections to endpoints. */
export type LineConnector = {
	/** A connection belongs to an organisation, or to this node where that is undefined; endpoints are told so. */
	connect(endpoint: RegisteredEndpoint, organisation: string | undefined): Promise<Either<ConnectionFault, LineConnection>>;
};

/** A row of the store. */
export type StoredRow = {
	readonly table: string;
	readonly key: string;
	/** Undefined where the row was removed. */
	readonly value: string | undefined;
	/** The store's version at the row's last write. */
	readonly version: number;
};

/** Rows of one moment, or the changes up to it. */
export type StoredRows = {
	readonly rows: readonly StoredRow[];
	/** Rises with each transaction, and when the store comes back from an older copy. */
	readonly version: number;
	/** The store's own steady clock. */
	readonly storeNowMs: number;
	/** Whether changes since the asked version are not known, or it names no moment of this store any more; the table must be read anew. */
	readonly isHistoryGone: boolean;
	/**
	 * When nothing newer existed, in milliseconds after the question was sent: later where a peer
	 * held the question back, earlier where what the peer knew was older. Zero where left out, as
	 * the store answers by what it holds when it is asked or later.
	 */
	readonly provedAfterMs?: number;
};

/** A write that takes effect only while the row is as expected. */
export type ConditionalWrite = {
	readonly table: string;
	readonly partition: string;
	readonly key: string;
	readonly value: string;
	/** Version that the row must have; zero: it must not exist. */
	readonly expectedVersion: number;
};

/** The platform's store of versioned rows. */
export type RowStore = {
	read(table: string, partition: string): Promise<Either<PlatformFault, StoredRows>>;
	/** Waits for changes after a version, at most for a time. */
	follow(table: string, afterVersion: number, waitMs: number): Promise<Either<PlatformFault, StoredRows>>;
	/** Resolves with the row's new version, or with `conditionFailed`. */
	write(write: ConditionalWrite): Promise<Either<PlatformFault, {readonly version: number; readonly storeNowMs: number}>>;
};

/** The platform's order to an endpoint to lead its group. */
export type PromotionCalls = {
	promote(service: string, endpointId: string, holder: string, epoch: number): Promise<Either<PlatformFault, void>>;
};

/** Reads rows that others wrote; undefined where a row cannot be read. */
export type RowFormats = {
	readonly configurationTable: string;
	readonly configurationKey: string;
	readonly endpointTable: string;
	decodeRoutes(value: string): RouteTable | undefined;
	/** A configuration with digests in place of API keys, as nodes keep it and tell it to each other. */
	redactKeys(value: string): string;
	/** The digest by which an API key is known. */
	digestOf(key: string): string;
	decodeEndpoint(key: string, value: string): EndpointRegistration | undefined;
};
