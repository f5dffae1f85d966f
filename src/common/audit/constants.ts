/**
 * Options of the audit trail with their defaults.
 */

/** Defaults of `AuditOptions`. */
export const auditDefaults = {
	/** Maximum number of entries that wait to be written; further ones are counted and dropped. */
	bufferedEntries: 500,
	/** Maximum number of entries in one item of the table. */
	batchEntries: 25,
	/** Maximum time between the entries of one batch; limits how much later than its cursor a reader has to start. */
	batchSpanMs: 10_000,
	/** How long entries are collected before the first write. */
	gatherMs: 200,
	/** Minimum time between two writes, so that a busy node writes at most once per second. */
	writeIntervalMs: 1000,
	/** Minimum and maximum backoff between two attempts while the table does not answer. */
	retryMinimumMs: 500,
	retryMaximumMs: 30_000,
	/** Longest text of a field, in characters; five such fields in each of 25 entries stay below the limit of 400 KB per item. */
	fieldCharacters: 1000,
	/** Number of items that a reader requests in one query. */
	pageItems: 50,
	/** Number of days before the cursor that one read searches. */
	daysRead: 31,
} as const;

/** Options of the audit trail; units are in the names. */
export type AuditOptions = {readonly [Name in keyof typeof auditDefaults]: number};

/** Act of the entry that records dropped entries. */
export const droppedAct = 'audit.dropped';
