/**
 * The last failover of the whole system, stored as one item of the table, so that the page of
 * every node shows it. It is only displayed; nothing depends on it.
 */
import {z} from 'zod';
import {WakeableSleep} from '../../common/lifecycle/timing.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {Clock, Table, TableItem} from '../../common/services/services.js';
import {parseJsonWith} from '../../common/configuration/problems.js';
import {failoverRecordDefaults} from './constants.js';
import {CoalescedRefresh} from './coalesced-refresh.js';
import type {Failover} from './types.js';

const failoverSchema = z.object({
	group: z.string(),
	reason: z.string(),
	gapMs: z.number(),
	at: z.iso.datetime(),
}) satisfies z.ZodType<Failover>;

/** What the record uses. */
export type FailoverRecordServices = {
	readonly table: Table;
	readonly clock: Clock;
	/** Distinguishes the writes of this process from those of others. */
	readonly writerId: string;
};

/** Keeps the last failover that this node knows of, its own or that of another node. */
export class FailoverRecord implements Disposable {
	private readonly _services: FailoverRecordServices;
	private readonly _options: typeof failoverRecordDefaults;
	private readonly _refresh: CoalescedRefresh;
	private readonly _sleep: WakeableSleep;
	private _last: Failover | undefined;
	/** The failover that is to be written to the table; a newer one replaces it. */
	private _pending: Failover | undefined;
	private _isWriting = false;
	private _isDisposed = false;

	constructor(services: FailoverRecordServices, options: Partial<typeof failoverRecordDefaults> = {}) {
		this._services = services;
		this._options = {...failoverRecordDefaults, ...options};
		this._refresh = new CoalescedRefresh(services.clock, this._options.keepMs, async () => {
			await this._read();
		});
		this._sleep = new WakeableSleep(services.clock);
	}

	/** The last failover known to this node. */
	get last(): Failover | undefined {
		return this._last;
	}

	/** Reads the table, unless that was done within `keepMs`. */
	async refresh(): Promise<void> {
		return this._refresh.run();
	}

	/** Accepts a failover that this node carried out, and writes it to the table in the background. */
	note(failover: Failover): void {
		this._updateLast(failover);
		this._pending = failover;
		if (!this._isWriting && !this._isDisposed) {
			void this._write();
		}
	}

	dispose(): void {
		this._isDisposed = true;
		this._sleep.dispose();
	}

	private _updateLast(failover: Failover): void {
		if (this._last === undefined || failover.at > this._last.at) {
			this._last = failover;
		}
	}

	private async _write(): Promise<void> {
		this._isWriting = true;
		for (let attempt = 0; attempt < this._options.attempts && this._pending && !this._isDisposed; attempt++) {
			const wanted = this._pending;
			const isDone = await this._tryWrite(wanted);
			if (isDone && this._pending === wanted) {
				this._pending = undefined;
			} else if (!isDone) {
				await this._sleep.wait(this._options.retryMs * (2 ** attempt));
			}
		}

		this._isWriting = false;
	}

	/** Tries to write the failover; true if the table then holds it, or a later one. */
	private async _tryWrite(wanted: Failover): Promise<boolean> {
		const read = await this._read();
		if (!read) {
			return false;
		}

		if (read.failover && read.failover.at >= wanted.at) {
			return true;
		}

		const {partition, sort} = this._options;
		const written = await this._services.table.put({
			partition, sort, changeId: `${this._services.writerId}/${wanted.at}`, body: JSON.stringify(wanted),
		}, read.revision);
		return written.isRight();
	}

	private async _read(): Promise<{readonly revision: number; readonly failover: Failover | undefined} | undefined> {
		const {partition, sort} = this._options;
		const read = await this._services.table.get(partition, sort);
		if (read.isLeft()) {
			return undefined;
		}

		const item = read.orDefault(undefined);
		const failover = item && decode(item);
		if (failover) {
			this._updateLast(failover);
		}

		return {revision: item?.revision ?? 0, failover};
	}
}

/** Undefined if the item is not a valid record; it is then overwritten. */
function decode({body}: TableItem): Failover | undefined {
	return parseJsonWith(failoverSchema, body).toMaybe().extract();
}
