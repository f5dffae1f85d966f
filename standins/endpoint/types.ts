/**
 * Types of the endpoint stand-in: rows, log entries and replication messages.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {LogPosition} from '../../src/common/positions/log-position.js';

/** A value of SQL; undefined stands for NULL. Times and dates are canonical text. */
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

/** What CREATE TABLE says. */
export type TableDefinition = {
	readonly name: string;
	readonly columns: readonly ColumnDefinition[];
	/** Indices of the primary key's columns; empty when rows have hidden numbers. */
	readonly keyColumns: readonly number[];
};

/** A physical change: replaying changes in order gives the same tables everywhere. */
export type Change
	= | {readonly kind: 'put'; readonly table: string; readonly key: string; readonly row: Row}
		| {readonly kind: 'remove'; readonly table: string; readonly key: string}
		| {readonly kind: 'createTable'; readonly definition: TableDefinition}
		| {readonly kind: 'dropTable'; readonly table: string};

/** One committed transaction; an entry without changes opens a term. */
export type LogEntry = {
	readonly term: number;
	readonly offset: number;
	readonly changes: readonly Change[];
};

/** Where a term's entries begin in a log. */
export type TermStart = {
	readonly term: number;
	readonly firstOffset: number;
};

/** Where a primary is reached. In-process networks may put the instance's name in `host`. */
export type PrimaryAddress = {
	readonly host: string;
	readonly port: number;
};

/** What a follower tells the primary that it wants to follow. */
export type StreamRequest = {
	readonly follower: string;
	/** Term that the follower was told the primary has. */
	readonly term: number;
	/** The follower's log: where each term begins, and its end. */
	readonly terms: readonly TermStart[];
	readonly end: LogPosition;
	/** The follower cannot take back entries up to this offset. */
	readonly droppedOffset: number;
};

/** The whole content of an instance, for a follower whose place is no longer in the log. */
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
		/** Length of the part that both logs share; the follower drops what comes after it. */
		readonly keptOffset: number;
		/** End of the primary's log at the start. */
		readonly end: LogPosition;
		readonly snapshot?: Snapshot;
	}
	| {readonly kind: 'entries'; readonly term: number; readonly entries: readonly LogEntry[]}
	| {readonly kind: 'alive'; readonly term: number};

/** The sending side of a stream; a promise asks the primary to wait before the next push. */
export type StreamSink = {
	push(message: StreamMessage): void | Promise<void>;
	/** The primary ends the stream. */
	end(reason: string): void;
};

/** The receiving side of a stream. */
export type StreamReceiver = {
	receive(message: StreamMessage): void;
	onEnd(reason: string): void;
};

/** Opens replication streams: over the wire, or straight to `Instance.serve` in one process. */
export type ReplicationConnector = {
	connect(primary: PrimaryAddress, request: StreamRequest, receiver: StreamReceiver): Disposable;
};

/** Distribution of the time between receiving an entry and applying it (lognormal). */
export type LagDistribution = {
	readonly p50Ms: number;
	readonly p99Ms: number;
};

/** The promise of an instance; a host keeps it over a restart. */
export type TermPromise = {
	readonly term: number;
	readonly claimId: string;
};

/** What one instance is made with. */
export type InstanceOptions = {
	readonly name: string;
	/**
	 * `primary` and `replica` are first starts in term 1. `restart` comes up rebuilding:
	 * its memory is lost, but not its promise.
	 */
	readonly start: 'primary' | 'replica' | 'restart';
	/** Promise kept over a restart. */
	readonly promise?: TermPromise;
	/** Whom a first-start replica follows in term 1. */
	readonly initialPrimary?: PrimaryAddress;
	readonly lag: LagDistribution;
	/** Entries kept for followers; those further behind get a snapshot. */
	readonly logEntriesKept: number;
	/** Pause before a broken stream is opened again. */
	readonly streamRetryMs: number;
	/** How often a primary that has nothing to send says that it lives. */
	readonly streamAliveMs: number;
	/** Silence after which a follower gives a stream up. */
	readonly streamSilenceMs: number;
};
