/**
 * Reads the audit trail, newest entries first.
 */
import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import type {PlatformFault, Table, TableItem} from '../services/services.js';
import {parseJsonWith} from '../configuration/problems.js';
import {
	dayMs, dayStartMs, partitionOf, recordKey, timeOfKey, timePrefix,
} from './audit-keys.js';
import type {AuditOptions} from './constants.js';
import {auditRecordSchema, type AuditPage, type AuditRecord} from './types.js';

const batchSchema = z.array(auditRecordSchema);

/** An entry with the key that it is ordered by. */
type KeyedRecord = {readonly key: string; readonly record: AuditRecord};

/** Reads one page of the trail. */
export class AuditReader {
	private readonly _table: Table;
	private readonly _options: AuditOptions;
	private readonly _limit: number;
	/** Cursor of the page, which holds only entries with larger keys, that is older ones. */
	private readonly _before: string;
	private readonly _found: KeyedRecord[] = [];

	constructor(table: Table, options: AuditOptions, limit: number, before: string) {
		this._table = table;
		this._options = options;
		this._limit = limit;
		this._before = before;
	}

	async read(): Promise<Either<PlatformFault, AuditPage>> {
		const cursorMs = timeOfKey(this._before);
		if (cursorMs === undefined) {
			return Left({kind: 'invalid', detail: 'not a cursor of the audit trail'});
		}

		// A batch is stored under the time of its latest entry and spans at most `batchSpanMs`, so
		// entries before the cursor may be in a batch that is stored that much later.
		const startMs = cursorMs + this._options.batchSpanMs;
		const firstDayMs = dayStartMs(startMs);
		for (let day = 0; day <= this._options.daysRead; day++) {
			const atMs = firstDayMs - (day * dayMs);
			const read = await this._readDay(atMs, day === 0 ? timePrefix(startMs) : '');
			if (read.isLeft()) {
				return read;
			}

			if (this._isFilledAfter(atMs)) {
				break;
			}
		}

		return Right(this._page());
	}

	/** Reads a day until its entries fill the page or it has no more. */
	private async _readDay(atMs: number, startSort: string): Promise<Either<PlatformFault, void>> {
		const {pageItems} = this._options;
		let afterSort: string | undefined = startSort;
		while (afterSort !== undefined) {
			const queried: Either<PlatformFault, readonly TableItem[]> = await this._table.query(partitionOf(atMs), afterSort, pageItems);
			if (queried.isLeft()) {
				return queried;
			}

			const items: readonly TableItem[] = queried.orDefault([]);
			this._collect(items);
			const last = items.at(-1)?.sort ?? '';
			const isOver = items.length < pageItems || this._isFilledAfter(timeOfKey(last) ?? 0);
			afterSort = isOver ? undefined : last;
		}

		return Right(undefined);
	}

	private _collect(items: readonly TableItem[]): void {
		for (const record of items.flatMap(({body}) => decodeBatch(body))) {
			const key = recordKey(record);
			if (key > this._before) {
				this._found.push({key, record});
			}
		}
	}

	/**
	 * Whether a full page, and one more entry that shows that there is a next page, were found
	 * after a time. Entries that were not read yet are not later than that time, so the page is
	 * final.
	 */
	private _isFilledAfter(timeMs: number): boolean {
		return this._found.filter(({record}) => record.atMs > timeMs).length > this._limit;
	}

	private _page(): AuditPage {
		const sorted = this._found.toSorted((a, b) => a.key < b.key ? -1 : 1);
		const page = sorted.slice(0, this._limit);
		const next = sorted.length > this._limit ? page.at(-1)?.key : undefined;
		return {records: page.map(({record}) => record), next};
	}
}

/** The entries of an item; none if the item was not written by an audit trail. */
function decodeBatch(body: string): AuditRecord[] {
	return parseJsonWith(batchSchema, body).orDefault([]);
}
