/**
 * The promotion duty of a service: a lease on the right to promote its endpoints, granted by
 * conditional writes in the store. Each acquisition has an epoch above every earlier one, which is
 * never reused and serves as a fencing token.
 *
 * The duty's row also names the term that is being replaced and, permanently, the highest term whose
 * replacement was ordered: an order may be executed long after its call timed out, so a term whose
 * replacement was ordered is never trusted again.
 *
 * A store that is restored from an older snapshot has lost what was written since. Therefore epochs
 * start again in each era of the store, above all epochs of the era before; no duty is acquired before
 * a lost one would have expired; nodes rewrite what they know of a group's promotions; and until they
 * had time to do so, the row is not relied on.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {z} from 'zod';
import type {
	Clock, Log, PlatformFault, Random, RowStore, StoredRow,
} from '../services/services.js';
import {pauseFor} from '../lifecycle/timing.js';
import {parseJsonWith} from '../configuration/problems.js';
import type {RestoreStatus} from '../store/restore-watch.js';
import {eraOf, highestEra} from '../store/store-version.js';

/** Store table that holds the promotion duties. */
export const dutyTable = 'promotion-duties';
const dutyKey = 'holder';

/** Number of epochs reserved for each era of the store. */
const epochsPerEra = 1_000_000;

/** Highest epoch that a row may name: that of the last era that a version can express. */
const highestEpoch = (highestEra + 1) * epochsPerEra;

const recordSchema = z.object({
	holder: z.string(),
	/** Bounded, so that another program's number does not use up the epochs that may follow. */
	epoch: z.number().int().nonnegative().max(highestEpoch),
	/** When the duty was last used, on the store's clock, in milliseconds. */
	usedAtMs: z.number(),
	/** Identifies this write, so that it can be recognised when its response was lost. */
	claimId: z.string(),
	/** Term that is being replaced; zero once the replacement was cancelled without an order. */
	term: z.number().int().nonnegative().default(0),
	/** Highest term whose replacement was ordered. */
	orderedTerm: z.number().int().nonnegative().default(0),
	/** Endpoint that was ordered to lead after that term. */
	orderedId: z.string().optional(),
	/** Highest term that a promoted endpoint was observed to lead. */
	seenTerm: z.number().int().nonnegative().default(0),
});

type DutyRecord = z.infer<typeof recordSchema>;

/** A duty as read from the store. */
type ReadDuty = {
	readonly record: DutyRecord | undefined;
	/** Version of the row; zero if there is none. */
	readonly version: number;
	readonly storeNowMs: number;
	/** The store's version at this response. */
	readonly storeVersion: number;
};

/** A duty that this node has acquired. */
export type HeldDuty = {
	readonly epoch: number;
	/** Term to be replaced: the requested one, or a later one that other nodes began to replace. */
	readonly term: number;
	/** Endpoint that was already ordered to lead after this term; that order may still be executed. */
	readonly orderedId: string | undefined;
	/** The row's content, valid as long as the row's version is unchanged. */
	readonly record: DutyRecord;
	readonly version: number;
	readonly storeNowMs: number;
	/** When the store's response arrived, on this node's clock. */
	readonly acquiredAtMs: number;
};

/** Why a duty was not acquired, or its row not written. */
export type DutyRefusal = {
	readonly reason: 'storeAway' | 'heldByAnother' | 'raced';
	/** Time in milliseconds until the duty may be acquired, if known. */
	readonly waitMs?: number;
	/** Details of the store calls that failed, if any did. */
	readonly detail?: string;
};

/** Progress of the replacement of a group's primary, as recorded in the store. */
export type ReplacementState = {
	/** Highest term that is being replaced or whose replacement was ordered; zero if there is none. */
	readonly begunTerm: number;
	/** Highest term whose replacement was ordered. */
	readonly orderedTerm: number;
	/** Whether this node may acquire the duty: it holds the duty already, or the holder's lease has expired. */
	readonly mayTakeOver: boolean;
	/** The store's version at the response that this state was read from; undefined if it was not read from the store. */
	readonly storeVersion?: number;
};

type DutyServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly store: RowStore;
	readonly restores: RestoreStatus;
	readonly node: string;
};

/** What a node knows of a group's terms, to be merged into a row of which the store has lost a part. */
export type KnownTerms = {
	/** Term that the current primary leads. */
	readonly primaryTerm: number;
	/** Highest term whose replacement has begun according to promoters or the store; it may have been ordered. */
	readonly begunTerm: number;
};

/** Record of a duty that was never acquired. */
const emptyRecord: DutyRecord = {
	holder: '', epoch: 0, usedAtMs: 0, claimId: '', term: 0, orderedTerm: 0, seenTerm: 0,
};

/** Fault that is returned while the store's duties cannot be relied on after a restore. */
const restoreNotSettled: PlatformFault = {kind: 'unavailable', detail: 'the store was restored from an older snapshot and has not settled yet'};

/** Delay before the row is reread after a write whose response was lost. */
const rereadDelayMs = 50;

/** Acquires promotion duties for this node and records their progress. */
export class PromotionDuties {
	private readonly _services: DutyServices;
	private readonly _leaseMs: number;
	/** Records as last read from or written to the store, by service. */
	private readonly _seen = new Map<string, DutyRecord>();

	constructor(services: DutyServices, leaseMs: number) {
		this._services = services;
		this._leaseMs = leaseMs;
	}

	/**
	 * Acquires the duty for replacing the primary of a term; refused while another node's lease on it
	 * has not expired.
	 */
	async acquire(service: string, term: number): Promise<Either<DutyRefusal, HeldDuty>> {
		const {node, random} = this._services;
		const read = await this._read(service);
		if (read.isLeft()) {
			return Left({reason: 'storeAway', detail: `read: ${read.extract().detail}`});
		}

		const {record: current, version, storeNowMs, storeVersion} = read.unsafeCoerce();
		const waitMs = this._waitMs(current, storeNowMs);
		if (waitMs > 0) {
			return Left({reason: 'heldByAnother', waitMs});
		}

		const record: DutyRecord = {
			holder: node,
			epoch: Math.max(current?.epoch ?? 0, eraOf(storeVersion) * epochsPerEra) + 1,
			usedAtMs: storeNowMs,
			term: Math.max(term, begunTermOf(current), current?.seenTerm ?? 0),
			orderedTerm: current?.orderedTerm ?? 0,
			orderedId: current?.orderedId,
			seenTerm: current?.seenTerm ?? 0,
			claimId: `${node}-${Math.floor(random.next() * Number.MAX_SAFE_INTEGER).toString(36)}`,
		};
		const written = await this._writeAndVerify(service, record, {version, era: eraOf(storeVersion)});
		return written.map(newVersion => this._toHeldDuty(record, newVersion, storeNowMs));
	}

	/**
	 * Records that an endpoint is about to be ordered to lead. Resolves to the duty if this node
	 * still held it, which the condition of the write proves.
	 */
	async recordOrder(service: string, duty: HeldDuty, endpointId: string): Promise<Either<DutyRefusal, HeldDuty>> {
		const storeNowMs = duty.storeNowMs + (this._services.clock.nowMs() - duty.acquiredAtMs);
		const record: DutyRecord = {
			...duty.record, usedAtMs: storeNowMs, orderedTerm: duty.term, orderedId: endpointId,
		};
		const written = await this._writeAndVerify(service, record, rowVersionOf(duty));
		return written.map(version => ({...this._toHeldDuty(record, version, storeNowMs), orderedId: duty.orderedId}));
	}

	/**
	 * Reads the progress of a service's replacement; a fault if the store fails, has not settled
	 * after a restore, or holds an unreadable row.
	 */
	async state(service: string): Promise<Either<PlatformFault, ReplacementState>> {
		const read = await this._read(service);
		return read.chain<PlatformFault, ReplacementState>(({record, version, storeNowMs, storeVersion}) => {
			if (!this._services.restores.isSettled) {
				return Left(restoreNotSettled);
			}

			if (!record && version > 0) {
				// An unreadable row may have named any term.
				return Left({kind: 'invalid', detail: 'the row of the promotion duty is malformed'});
			}

			return Right({
				begunTerm: begunTermOf(record),
				orderedTerm: record?.orderedTerm ?? 0,
				mayTakeOver: this._waitMs(record, storeNowMs) <= 0,
				storeVersion,
			});
		});
	}

	/**
	 * Records that a term is no longer being replaced. Either nothing was ordered, or `refusedBefore`
	 * holds the duty as it was before an order that the platform refused. This node keeps the duty.
	 */
	async cancelReplacement(service: string, duty: HeldDuty, refusedBefore?: HeldDuty): Promise<void> {
		const {orderedTerm, orderedId} = refusedBefore?.record ?? duty.record;
		const record: DutyRecord = {
			...duty.record, term: 0, orderedTerm, orderedId,
		};
		const written = await this._writeAndVerify(service, record, rowVersionOf(duty));
		written.ifLeft(fault => {
			this._services.log.event('promotionNotGivenUp', {group: service, ...fault});
		});
	}

	/** Records the term that an order has led to, so that the next promoter does not replace an earlier one. */
	async recordEffect(service: string, duty: HeldDuty, seenTerm: number): Promise<void> {
		const written = await this._writeAndVerify(service, {...duty.record, seenTerm}, rowVersionOf(duty));
		written.ifLeft(fault => {
			this._services.log.event('promotionDutyMissed', {group: service, ...fault});
		});
	}

	/** Rewrites what this node knows of a group's promotions if the store has lost it. */
	async rewriteLostRecord(service: string, known: KnownTerms): Promise<void> {
		const {log} = this._services;
		const seen = this._seen.get(service);
		const read = await this._read(service);
		if (read.isLeft()) {
			log.event('dutyNotPutBack', {group: service, ...read.extract()});
			return;
		}

		const {record: current, version, storeVersion} = read.unsafeCoerce();
		const record = mergeLostState(current ?? emptyRecord, seen, known);
		if (record === undefined) {
			return;
		}

		const {epoch, orderedTerm, orderedId, seenTerm} = record;
		const written = await this._writeAndVerify(service, record, {version, era: eraOf(storeVersion)});
		written
			.ifLeft(refusal => {
				log.event('dutyNotPutBack', {group: service, ...refusal});
			})
			.ifRight(() => {
				log.event('dutyPutBack', {
					group: service, epoch, orderedTerm, orderedId, seenTerm,
				});
			});
	}

	private _toHeldDuty(record: DutyRecord, version: number, storeNowMs: number): HeldDuty {
		const {epoch, term, orderedTerm, orderedId} = record;
		return {
			epoch, term, record, version, storeNowMs, orderedId: orderedTerm >= term ? orderedId : undefined, acquiredAtMs: this._services.clock.nowMs(),
		};
	}

	/** Returns the time in milliseconds until another node's lease, or one that the store has lost, has expired. */
	private _waitMs(record: DutyRecord | undefined, storeNowMs: number): number {
		const heldMs = record === undefined || record.holder === this._services.node ? 0 : record.usedAtMs + this._leaseMs - storeNowMs;
		// No node dates its use a lease ahead of the store's clock, so such a row is another program's and holds nothing.
		const isPossible = heldMs <= this._leaseMs * 2;
		return Math.max(isPossible ? heldMs : 0, this._leaseMs - this._services.restores.agoMs);
	}

	private async _read(service: string): Promise<Either<PlatformFault, ReadDuty>> {
		const read = await this._services.store.read(dutyTable, service);
		return read.map(({rows, storeNowMs, version: storeVersion}) => {
			const row = rows.find(({key}) => key === dutyKey);
			const record = parseRecord(row);
			if (record && this._services.restores.isSettled) {
				this._seen.set(service, record);
			}

			return {
				record, version: row?.version ?? 0, storeNowMs, storeVersion,
			};
		});
	}

	/**
	 * Writes the row if its version is unchanged, and resolves to its new version. After a write
	 * whose response was lost, rereads the row to find out whether the write took effect.
	 */
	private async _writeAndVerify(service: string, record: DutyRecord, {version: expectedVersion, era}: RowVersion): Promise<Either<DutyRefusal, number>> {
		const {store, clock} = this._services;
		const value = JSON.stringify(record);
		const written = await store.write({
			table: dutyTable, partition: service, key: dutyKey, value, expectedVersion,
		});
		const checkEra = (version: number): Either<DutyRefusal, number> => {
			if (eraOf(version) !== era) {
				return Left({reason: 'raced', detail: 'the store was restored from an older snapshot during the write'});
			}

			this._seen.set(service, record);
			return Right(version);
		};

		if (!written.isLeft()) {
			return checkEra(written.unsafeCoerce().version);
		}

		const fault = written.extract();
		if (fault.kind === 'throttled') {
			return Left({reason: 'storeAway', detail: `write: ${fault.detail}`});
		}

		await pauseFor(clock, rereadDelayMs);
		const read = await store.read(dutyTable, service);
		return read
			.mapLeft((failed): DutyRefusal => ({reason: 'storeAway', detail: `write: ${fault.detail}, read: ${failed.detail}`}))
			.chain<DutyRefusal, number>(({rows}) => {
				const row = rows.find(({key}) => key === dutyKey);
				return row?.value === value ? checkEra(row.version) : Left({reason: 'raced'});
			});
	}
}

/** Version of a row (zero if there was none) and the store's era when it was read. */
type RowVersion = {
	readonly version: number;
	readonly era: number;
};

function rowVersionOf({version}: HeldDuty): RowVersion {
	return {version, era: eraOf(version)};
}

/**
 * Merges into a record what was seen before a restore and what is known of the group; returns
 * undefined if nothing has been lost. A replacement that the snapshot shows as begun may have been
 * ordered since.
 */
function mergeLostState(current: DutyRecord, seen: DutyRecord | undefined, {primaryTerm, begunTerm}: KnownTerms): DutyRecord | undefined {
	const last = seen && seen.orderedTerm > current.orderedTerm ? seen : current;
	const replacedTerm = Math.max(primaryTerm - 1, begunTerm, current.term);
	const isReplaced = primaryTerm > 1 && replacedTerm < primaryTerm;
	const record: DutyRecord = {
		...current,
		epoch: Math.max(current.epoch, seen?.epoch ?? 0),
		orderedTerm: Math.max(last.orderedTerm, replacedTerm),
		orderedId: last.orderedTerm >= replacedTerm ? last.orderedId : undefined,
		seenTerm: Math.max(current.seenTerm, seen?.seenTerm ?? 0, isReplaced ? primaryTerm : 0),
	};
	return record.orderedTerm === current.orderedTerm && record.seenTerm === current.seenTerm ? undefined : record;
}

function begunTermOf(record: DutyRecord | undefined): number {
	return record ? Math.max(record.term, record.orderedTerm) : 0;
}

/**
 * Parses a duty's row; undefined if it is missing or malformed. A malformed row is overwritten on
 * condition of its version, and its epochs are then counted from the start of the store's era.
 */
function parseRecord(row: StoredRow | undefined): DutyRecord | undefined {
	return row?.value === undefined ? undefined : parseJsonWith(recordSchema, row.value).toMaybe().extract();
}
