/**
 * The log of one instance: its entries, where terms begin, and how to undo applied entries.
 */
import type {LogPosition} from '../../../src/common/positions/log-position.js';
import type {LogEntry, StreamRequest, TermStart} from '../types.js';
import type {Undo} from './database.js';

type StoredEntry = {
	readonly entry: LogEntry;
	undo: Undo | undefined;
};

/** Entries in order. Only applied entries are dropped, the oldest first, and at least `entriesKept` of them are kept. */
export class ReplicatedLog {
	private _entries: StoredEntry[] = [];
	/** Offset of the last entry that is no longer kept. */
	private _droppedOffset = 0;
	private _terms: TermStart[] = [];
	private readonly _entriesKept: number;

	constructor(entriesKept: number) {
		this._entriesKept = entriesKept;
	}

	/** Position of the last entry. */
	get end(): LogPosition {
		return {term: this._terms.at(-1)?.term ?? 0, offset: this._endOffset};
	}

	/** Where each term begins, in order. */
	get terms(): readonly TermStart[] {
		return this._terms;
	}

	/** Offset of the last entry that is no longer kept. */
	get droppedOffset(): number {
		return this._droppedOffset;
	}

	private get _endOffset(): number {
		return this._droppedOffset + this._entries.length;
	}

	/** Appends the next entry; throws if its offset does not follow the end of the log. */
	append(entry: LogEntry): void {
		if (entry.offset !== this._endOffset + 1) {
			throw new Error(`entry ${entry.term}/${entry.offset} does not follow offset ${this._endOffset}`);
		}

		if (entry.term !== this._terms.at(-1)?.term) {
			this._terms.push({term: entry.term, firstOffset: entry.offset});
		}

		this._entries.push({entry, undo: undefined});
	}

	/** Records how to undo an applied entry, and drops the oldest entries once there are more than twice as many applied ones as must be kept. */
	recordApplied(offset: number, undo: Undo): void {
		this._entries[offset - this._droppedOffset - 1].undo = undo;
		if (offset - this._droppedOffset > 2 * this._entriesKept) {
			const dropped = offset - this._droppedOffset - this._entriesKept;
			this._entries = this._entries.slice(dropped);
			this._droppedOffset += dropped;
		}
	}

	/** The entry at an offset, which must still be kept. */
	entry(offset: number): LogEntry {
		return this._entries[offset - this._droppedOffset - 1].entry;
	}

	/** At most `limit` entries after an offset; the entries after it must still be kept. */
	entriesAfter(offset: number, limit: number): LogEntry[] {
		const from = offset - this._droppedOffset;
		return this._entries.slice(from, from + limit).map(stored => stored.entry);
	}

	/** Term of the entry at an offset; zero before the first entry. */
	termAt(offset: number): number {
		return this._terms.findLast(start => start.firstOffset <= offset)?.term ?? 0;
	}

	/** Drops all entries after an offset, and undoes those that were applied. */
	truncate(keptOffset: number): void {
		while (this._endOffset > keptOffset) {
			this._entries.pop()?.undo?.();
		}

		this._terms = this._terms.filter(start => start.firstOffset <= keptOffset);
	}

	/** Replaces the log by an empty one that begins after the position of a snapshot. */
	reset(offset: number, terms: readonly TermStart[]): void {
		this._entries = [];
		this._droppedOffset = offset;
		this._terms = [...terms];
	}

	/**
	 * Length of the prefix that the log of a follower shares with this one. Entries with the same term and
	 * offset are the same, because a term has only one primary.
	 */
	sharedOffset(follower: Pick<StreamRequest, 'terms' | 'end'>): number {
		let followerEnd = follower.end.offset;
		for (const start of follower.terms.toReversed()) {
			const end = this._endOfTerm(start.term);
			if (end !== undefined) {
				return Math.min(followerEnd, end);
			}

			followerEnd = start.firstOffset - 1;
		}

		return 0;
	}

	private _endOfTerm(term: number): number | undefined {
		const index = this._terms.findIndex(start => start.term === term);
		if (index === -1) {
			return undefined;
		}

		return index + 1 < this._terms.length ? this._terms[index + 1].firstOffset - 1 : this._endOffset;
	}
}
