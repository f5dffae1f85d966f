/**
 * The record of terms in the platform's table, one item per group.
 *
 * A promotion does not wait for it. The recorded term only increases: it is written on
 * condition that the revision is still the one that was read, and never over an equal or
 * higher term.
 */
import {Right, type Either} from 'purify-ts';
import {z} from 'zod';
import {Backoff} from '../homes/backoff.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {
	Clock, Log, Metrics, PlatformFault, PrimaryAnnouncement, Random, Table, TableItem,
} from '../services/services.js';
import {WakeableSleep} from '../lifecycle/timing.js';
import {parseJsonWith} from '../configuration/problems.js';
import type {TermRecorder} from './types.js';

const termRecordSchema = z.object({
	term: z.int().positive(),
	primary: z.string(),
	claimId: z.string(),
});

/** A term of a group, its primary and the claim under which it was raised. */
export type TermRecord = z.infer<typeof termRecordSchema>;

/** Services that `TermRecords` uses. */
export type TermRecordServices = {
	readonly table: Table;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Defaults of `TermRecords`. */
export const termRecordDefaults = {
	/** Partition of the table; the sort key is the group's name. */
	partition: 'groups',
	/** Minimum and maximum delay between two attempts while the table does not answer. */
	retryMinimumMs: 200,
	retryMaximumMs: 15_000,
} as const;

/** A record that is being written to the table. */
type PendingRecord = {wanted: TermRecord; readonly sleep: WakeableSleep};

type StoredRecord = {readonly revision: number; readonly record: TermRecord | undefined};

/** Outcome of a completed attempt; attempts that must be retried have none. */
type RecordOutcome = 'recorded' | 'superseded' | 'contradicted';

/** Records new terms in the background, with one task for each group that has a term to record. */
export class TermRecords implements TermRecorder, Disposable {
	private readonly _services: TermRecordServices;
	private readonly _options: typeof termRecordDefaults;
	private readonly _pending = new Map<string, PendingRecord>();
	private _isDisposed = false;

	constructor(services: TermRecordServices, options: Partial<typeof termRecordDefaults> = {}) {
		this._services = services;
		this._options = {...termRecordDefaults, ...options};
	}

	/** Number of groups whose newest term is not in the table yet. */
	get pendingCount(): number {
		return this._pending.size;
	}

	/** Records a term in the background; replaces a lower one of the group that is still pending. */
	record(announcement: PrimaryAnnouncement, claimId: string): void {
		const {group, term, primary} = announcement;
		const wanted = {term, primary, claimId};
		const pending = this._pending.get(group);
		if (pending) {
			pending.wanted = term > pending.wanted.term ? wanted : pending.wanted;
			return;
		}

		if (!this._isDisposed) {
			const added = {wanted, sleep: new WakeableSleep(this._services.clock)};
			this._pending.set(group, added);
			void this._run(group, added);
		}
	}

	/** Reads the highest recorded term of a group; undefined when none is recorded, or a fault when the table does not answer. */
	async read(group: string): Promise<Either<PlatformFault, TermRecord | undefined>> {
		const stored = await this._readStored(group);
		return stored.map(({record}) => record);
	}

	dispose(): void {
		this._isDisposed = true;
		for (const {sleep} of this._pending.values()) {
			sleep.dispose();
		}

		this._pending.clear();
	}

	private async _run(group: string, pending: PendingRecord): Promise<void> {
		const {clock, random, log, metrics} = this._services;
		const backoff = new Backoff(clock, random, this._options.retryMinimumMs, this._options.retryMaximumMs);
		while (!this._isDisposed) {
			const {wanted} = pending;
			const outcome = await this._attempt(group, wanted);
			if (outcome) {
				metrics.count('termRecordsTotal', {outcome});
				log.event(outcome === 'contradicted' ? 'termRecordContradicted' : 'termRecorded', {group, ...wanted, outcome});
			}

			if (outcome && pending.wanted === wanted) {
				this._pending.delete(group);
				return;
			}

			if (!outcome) {
				backoff.fail();
				await pending.sleep.wait(backoff.remainingMs);
			}
		}
	}

	private async _attempt(group: string, wanted: TermRecord): Promise<RecordOutcome | undefined> {
		const stored = await this._readStored(group);
		if (stored.isLeft()) {
			return undefined;
		}

		const {revision, record} = stored.unsafeCoerce();
		if (record && record.term >= wanted.term) {
			return outcomeComparedTo(record, wanted);
		}

		const written = await this._services.table.put(this._itemOf(group, wanted), revision);
		return written.isRight() ? 'recorded' : undefined;
	}

	private _itemOf(group: string, wanted: TermRecord): Omit<TableItem, 'revision'> {
		return {
			partition: this._options.partition,
			sort: group,
			changeId: `${wanted.term}/${wanted.claimId}`,
			body: JSON.stringify(wanted),
		};
	}

	private async _readStored(group: string): Promise<Either<PlatformFault, StoredRecord>> {
		const read = await this._services.table.get(this._options.partition, group);
		return read.chain(item => Right({revision: item?.revision ?? 0, record: item && decodeRecord(item.body)}));
	}
}

/** The outcome for a term to be recorded, given a recorded term that is not lower. */
function outcomeComparedTo(recorded: TermRecord, wanted: TermRecord): RecordOutcome {
	if (recorded.term > wanted.term) {
		return 'superseded';
	}

	const isSame = recorded.claimId === wanted.claimId && recorded.primary === wanted.primary;
	return isSame ? 'recorded' : 'contradicted';
}

/** Decodes a stored record; undefined when the body is not valid, so that it is overwritten. */
function decodeRecord(body: string): TermRecord | undefined {
	return parseJsonWith(termRecordSchema, body).toMaybe().extract();
}
