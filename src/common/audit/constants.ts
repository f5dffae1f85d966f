/**
 * Options of the audit trail with their defaults.
 */

/** Defaults of `AuditOptions`. */
export const auditDefaults = {
	/** Entries that wait for the table at most; further ones are counted and dropped. */
	bufferedEntries: 500,
	/** Entries that one item of the table holds at most. */
	batchEntries: 25,
	/** Longest time between the entries of one batch; bounds how far a reader looks back. */
	batchSpanMs: 10_000,
	/** Entries are gathered for this long before the first write. */
	gatherMs: 200,
	/** Time between two writes, so that a busy node writes once a second at most. */
	writeIntervalMs: 1000,
	/** First and longest delay between two attempts while the table does not answer. */
	retryMinimumMs: 500,
	retryMaximumMs: 30_000,
	/** Longest text of a field; five such fields in 25 entries stay below an item's 400 KB. */
	fieldCharacters: 1000,
	/** Items that one query of a reader asks for. */
	pageItems: 50,
	/** Days before the wanted time that one read looks into. */
	daysRead: 31,
} as const;

/** Options of the audit trail; units are in the names. */
export type AuditOptions = {readonly [Name in keyof typeof auditDefaults]: number};

/** Act of the entry that stands for dropped ones. */
export const droppedAct = 'audit.dropped';
