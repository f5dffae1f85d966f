/**
 * What callers asked and were told, in virtual time. The checker sees nothing else.
 */

/** What a caller may conclude about something it asked to be written. */
export type WriteOutcome = 'acknowledged' | 'notRun' | 'unknown';

/** One write, or the writes of one transaction, which stand or fall together. */
export type WriteRecord = {
	readonly session: number;
	readonly group: string;
	/** Marks that it wrote into its session's table. */
	readonly marks: readonly number[];
	readonly startMs: number;
	/** When the caller knew the outcome. */
	endMs: number;
	outcome: WriteOutcome;
	/** Kind of the refusal, for the report. */
	detail: string;
};

/** One read of a session's table. */
export type ReadRecord = {
	/** Session that read. */
	readonly session: number;
	/** Session whose table was read. */
	readonly target: number;
	readonly group: string;
	readonly startMs: number;
	readonly endMs: number;
	/** Age that the reader accepted; undefined for its own consistency. */
	readonly maximumAgeMs: number | undefined;
	/** Marks in the answer, as they came. */
	readonly marks: readonly number[];
	/** Whether the answer carried this request's own number. */
	readonly isOwnAnswer: boolean;
	/** Whether the reader brought a token; else it read on a fresh session. */
	readonly hasToken: boolean;
};

/** Everything callers saw in one run. */
export class History {
	readonly writes: WriteRecord[] = [];
	readonly reads: ReadRecord[] = [];
	/** When a session gave up waiting for an answer. */
	readonly unanswered: Array<{readonly session: number; readonly atMs: number}> = [];
	/** Refusals and answers by what they were, for the report. */
	readonly counts = new Map<string, number>();

	/** Counts one answer of a kind. */
	count(what: string): void {
		this.counts.set(what, (this.counts.get(what) ?? 0) + 1);
	}
}
