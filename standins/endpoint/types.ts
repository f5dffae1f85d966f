/**
 * Types of the endpoint stand-in: rows, log entries and replication messages.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {LogPosition} from '../../src/common/positions/log-position.js';

/** A value in SQL; undefined stands for NULL. Times and dates are text in canonical form. */
export type SqlValue = string | number | boolean | undefined;

/** Values of one row, in the order of the table's columns. */
export type Row = readonly SqlValue[];

/** How a column without a value in an INSERT is filled. */
export type ColumnDefault
	= | {readonly kind: 'literal'; readonly value: SqlValue}
		| {readonly kind: 'now'}
		| {readonly kind: 'serial'};

/** One column of a table. */
export type ColumnDefinition = {
	readonly name: string;
	/** Name of its type in `sql/sql-types.ts`. */
	readonly type: string;
	readonly isRequired: boolean;
	readonly default?: ColumnDefault;
};

/** Definition of a table, from CREATE TABLE. */
export type TableDefinition = {
	readonly name: string;
	readonly columns: readonly ColumnDefinition[];
	/** Indices of the columns of the primary key; empty if the table has none and its rows are keyed by hidden numbers. */
	readonly keyColumns: readonly number[];
};

/** A physical change: replaying the same changes in order gives the same tables on every instance. */
export type Change
	= | {readonly kind: 'put'; readonly table: string; readonly key: string; readonly row: Row}
		| {readonly kind: 'remove'; readonly table: string; readonly key: string}
		| {readonly kind: 'createTable'; readonly definition: TableDefinition}
		| {readonly kind: 'dropTable'; readonly table: string};

/** One committed transaction; the first entry of a term has no changes. */
export type LogEntry = {
	readonly term: number;
	readonly offset: number;
	readonly changes: readonly Change[];
};

/** Offset at which the entries of a term begin in a log. */
export type TermStart = {
	readonly term: number;
	readonly firstOffset: number;
};

/** Address of a primary. In-process networks may put the name of the instance in `host`. */
export type PrimaryAddress = {
	readonly host: string;
	readonly port: number;
};

/** Request of a follower to open a replication stream from a primary. */
export type StreamRequest = {
	readonly follower: string;
	/** Term of the primary, as given in the `follow` command. */
	readonly term: number;
	/** The follower's log: where each term begins, and its end. */
	readonly terms: readonly TermStart[];
	readonly end: LogPosition;
	/** The follower no longer keeps entries up to this offset, and so cannot undo them. */
	readonly droppedOffset: number;
};

/** The whole content of an instance, for a follower that needs entries which the log no longer keeps. */
export type Snapshot = {
	readonly position: LogPosition;
	readonly terms: readonly TermStart[];
	readonly changes: readonly Change[];
};

/** What a primary sends on a replication stream. */
export type StreamMessage
	= | {
		readonly kind: 'start';
		readonly term: number;
		/** Last offset that the follower keeps: the end of the part that both logs share, or of the snapshot. The follower truncates its log after it. */
		readonly keptOffset: number;
		/** End of the primary's log when the stream starts. */
		readonly end: LogPosition;
		readonly snapshot?: Snapshot;
	}
	| {readonly kind: 'entries'; readonly term: number; readonly entries: readonly LogEntry[]}
	| {readonly kind: 'alive'; readonly term: number};

/** The sending side of a stream. If `push` returns a promise, the primary waits for it before the next push. */
export type StreamSink = {
	push(message: StreamMessage): void | Promise<void>;
	/** Ends the stream from the side of the primary. */
	end(reason: string): void;
};

/** The receiving side of a stream. */
export type StreamReceiver = {
	receive(message: StreamMessage): void;
	onEnd(reason: string): void;
};

/** Opens replication streams: over the wire, or by calling `Instance.serve` in the same process. */
export type ReplicationConnector = {
	connect(primary: PrimaryAddress, request: StreamRequest, receiver: StreamReceiver): Disposable;
};

/** Lognormal distribution of the delay between receiving an entry and applying it. */
export type LagDistribution = {
	readonly p50Ms: number;
	readonly p99Ms: number;
};

/** The term promise of an instance: it takes no part in lower terms. The process that runs the instance must keep it across restarts. */
export type TermPromise = {
	readonly term: number;
	readonly claimId: string;
};

/** Options of one instance. */
export type InstanceOptions = {
	readonly name: string;
	/**
	 * `primary` and `replica` are first starts in term 1. With `restart` the instance starts in the role
	 * `rebuilding`: it has lost its log and tables, but not its term promise.
	 */
	readonly start: 'primary' | 'replica' | 'restart';
	/** Term promise that was kept across the restart. */
	readonly promise?: TermPromise;
	/** Primary that a replica follows in term 1 after its first start. */
	readonly initialPrimary?: PrimaryAddress;
	readonly lag: LagDistribution;
	/** Minimum number of applied entries that the log keeps for followers; a follower that is further behind may get a snapshot. */
	readonly logEntriesKept: number;
	/** Delay before a stream that ended is opened again. */
	readonly streamRetryMs: number;
	/** Interval of the heartbeats that a primary sends while it has nothing else to send. */
	readonly streamAliveMs: number;
	/** Silence after which a follower closes a stream and opens a new one. */
	readonly streamSilenceMs: number;
};
