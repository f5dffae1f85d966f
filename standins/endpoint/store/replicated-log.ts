/**
 * The log of one instance: entries, where terms begin, and how to undo what was applied.
 */
import type {LogPosition} from '../../../src/common/positions/log-position.js';
import type {LogEntry, StreamRequest, TermStart} from '../types.js';
import type {Undo} from './database.js';

type StoredEntry = {
	readonly entry: LogEntry;
	undo: Undo | undefined;
};

/** Entries in order; the oldest are dropped beyond the number kept. */
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

	/** Where each term begins. */
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

	/** Adds the next entry. */
	append(entry: LogEntry): void {
		if (entry.offset !== this._endOffset + 1) {
			throw new Error(`entry ${entry.term}/${entry.offset} does not follow offset ${this._endOffset}`);
		}

		if (entry.term !== this._terms.at(-1)?.term) {
			this._terms.push({term: entry.term, firstOffset: entry.offset});
		}

		this._entries.push({entry, undo: undefined});
	}

	/** Notes how to undo an applied entry, and drops entries that are too old to be needed. */
	recordApplied(offset: number, undo: Undo): void {
		this._entries[offset - this._droppedOffset - 1].undo = undo;
		if (offset - this._droppedOffset > 2 * this._entriesKept) {
			const dropped = offset - this._droppedOffset - this._entriesKept;
			this._entries = this._entries.slice(dropped);
			this._droppedOffset += dropped;
		}
	}

	/** One entry that is kept. */
	entry(offset: number): LogEntry {
		return this._entries[offset - this._droppedOffset - 1].entry;
	}

	/** At most `limit` entries after an offset that is kept. */
	entriesAfter(offset: number, limit: number): LogEntry[] {
		const from = offset - this._droppedOffset;
		return this._entries.slice(from, from + limit).map(stored => stored.entry);
	}

	/** Term of the entry at an offset; zero before the first. */
	termAt(offset: number): number {
		return this._terms.findLast(start => start.firstOffset <= offset)?.term ?? 0;
	}

	/** Drops everything after an offset and undoes what of it was applied. */
	truncate(keptOffset: number): void {
		while (this._endOffset > keptOffset) {
			this._entries.pop()?.undo?.();
		}

		this._terms = this._terms.filter(start => start.firstOffset <= keptOffset);
	}

	/** Starts again after the content of a snapshot. */
	reset(offset: number, terms: readonly TermStart[]): void {
		this._entries = [];
		this._droppedOffset = offset;
		this._terms = [...terms];
	}

	/**
	 * Length of the part that a follower's log shares with this one. The same term and
	 * offset mean the same entry, because a term has one primary.
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
