/**
 * The platform's table in memory, with injected faults.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {
	Clock, PlatformFault, Table, TableItem,
} from '../../src/common/services/services.js';
import type {FaultInjector} from './fault-injector.js';
import {OrderedRows} from './ordered-rows.js';

type Write = {readonly item: Omit<TableItem, 'revision'>; readonly expectedRevision: number};

/** One client's view of a table; clients of one table share its rows. */
export class MemoryTable implements Table {
	private readonly _clock: Clock;
	private readonly _faultInjector: FaultInjector;
	private readonly _rows: OrderedRows<TableItem>;

	constructor(clock: Clock, faultInjector: FaultInjector, rows = new OrderedRows<TableItem>()) {
		this._clock = clock;
		this._faultInjector = faultInjector;
		this._rows = rows;
	}

	async get(partition: string, sort: string): Promise<Either<PlatformFault, TableItem | undefined>> {
		return this._faultInjector.run('read', () => Right(this._current(partition, sort)));
	}

	async query(partition: string, afterSort: string, limit: number): Promise<Either<PlatformFault, readonly TableItem[]>> {
		return this._faultInjector.run('read', () => Right(this._after(partition, afterSort, limit)));
	}

	async put(item: Omit<TableItem, 'revision'>, expectedRevision: number): Promise<Either<PlatformFault, TableItem>> {
		return this._faultInjector.run('write', () => this._put({item, expectedRevision}));
	}

	async putAll(writes: readonly Write[]): Promise<Either<PlatformFault, void>> {
		return this._faultInjector.run('write', () => this._putAll(writes), writes.length);
	}

	/** Returns the time of the platform's clock, in milliseconds. */
	nowMs(): number {
		return this._clock.wallClockMs();
	}

	private _current(partition: string, sort: string): TableItem | undefined {
		const item = this._rows.get(partition, sort);
		if (item && this._isExpired(item)) {
			this._rows.delete(partition, sort);
			return undefined;
		}

		return item;
	}

	private _after(partition: string, afterSort: string, limit: number): TableItem[] {
		const items: TableItem[] = [];
		for (const item of this._rows.after(partition, afterSort)) {
			if (items.length === limit) {
				break;
			}

			if (!this._isExpired(item)) {
				items.push(item);
			}
		}

		return items;
	}

	private _isExpired(item: TableItem): boolean {
		return item.expiresAtMs !== undefined && item.expiresAtMs < this._clock.wallClockMs();
	}

	private _put(write: Write): Either<PlatformFault, TableItem> {
		const current = this._current(write.item.partition, write.item.sort);
		if (current?.changeId === write.item.changeId) {
			return Right(current);
		}

		if ((current?.revision ?? 0) !== write.expectedRevision) {
			return conditionFailed(current);
		}

		const next: TableItem = {...write.item, revision: write.expectedRevision + 1};
		this._rows.set(next.partition, next.sort, next);
		return Right(next);
	}

	private _putAll(writes: readonly Write[]): Either<PlatformFault, void> {
		const currents = writes.map(({item}) => this._current(item.partition, item.sort));
		// A change takes effect as a whole: one of its items in the table proves that all of it took effect.
		if (writes.some(({item}, index) => currents[index]?.changeId === item.changeId)) {
			return Right(undefined);
		}

		const failedIndex = writes.findIndex(({expectedRevision}, index) => (currents[index]?.revision ?? 0) !== expectedRevision);
		if (failedIndex !== -1) {
			return conditionFailed(currents[failedIndex]);
		}

		for (const write of writes) {
			this._put(write);
		}

		return Right(undefined);
	}
}

function conditionFailed<T>(current: TableItem | undefined): Either<PlatformFault, T> {
	return Left({kind: 'conditionFailed', detail: `the item has revision ${current?.revision ?? 0}, not the expected one`});
}
