/**
 * Requests of callers and their answers, in virtual time. The checker sees only this and the final tables.
 */

/** The outcome of a write, as far as its caller can tell. */
export type WriteOutcome = 'acknowledged' | 'notRun' | 'unknown';

/** One write, or the writes of one transaction, which must take effect together or not at all. */
export type WriteRecord = {
	readonly session: number;
	readonly group: string;
	/** Marks that it wrote to its session's table. */
	readonly marks: readonly number[];
	readonly startMs: number;
	/** When the caller knew the outcome. */
	endMs: number;
	outcome: WriteOutcome;
	/** Kind of the answer, for the report. */
	detail: string;
};

/** One read of a session's table. */
export type ReadRecord = {
	/** Session that sent the read. */
	readonly session: number;
	/** Session whose table was read. */
	readonly target: number;
	readonly group: string;
	readonly startMs: number;
	readonly endMs: number;
	/** Maximum age that the reader accepted, in milliseconds; undefined for session consistency. */
	readonly maximumAgeMs: number | undefined;
	/** Marks in the answer, in the order in which they arrived. */
	readonly marks: readonly number[];
	/** Whether the answer carried the number of this request. */
	readonly isOwnAnswer: boolean;
	/** Whether the reader sent its token; otherwise it read on a new session. */
	readonly hasToken: boolean;
};

/** Everything that callers observed in one run. */
export class History {
	readonly writes: WriteRecord[] = [];
	readonly reads: ReadRecord[] = [];
	/** Sessions that timed out waiting for an answer, and when. */
	readonly unanswered: Array<{readonly session: number; readonly atMs: number}> = [];
	/** Number of answers of each kind, for the report. */
	readonly counts = new Map<string, number>();

	/** Counts one answer of a kind. */
	count(what: string): void {
		this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
	}
}
