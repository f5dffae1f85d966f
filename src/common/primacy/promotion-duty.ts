/**
 * Who promotes endpoints of a service, agreed on by conditional writes in the store. Each
 * taking of the duty has an epoch above every earlier one; it is never used twice.
 *
 * The duty's row also says which term is being replaced, and, for good, the highest term whose
 * replacement was ordered: an order may be carried out long after its call was given up on, so
 * a term that was ordered away is never believed again.
 *
 * A store that comes back from an older copy has lost what was written since. Epochs are counted
 * anew in each era of the store, above all of the era before; nobody takes a duty before a lost
 * one has run out; what nodes know of a group's promotions they put back; until they had time to,
 * the row says nothing.
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
import {eraOf} from '../store/store-version.js';

/** Table of the duties. */
export const dutyTable = 'promotion-duties';
const dutyKey = 'holder';

const recordSchema = z.object({
	holder: z.string(),
	epoch: z.number().int().nonnegative(),
	/** On the store's clock. */
	usedAtMs: z.number(),
	/** Tells apart writes whose answers were lost. */
	claimId: z.string(),
	/** Term that is being replaced; zero once that was given up without an order. */
	term: z.number().int().nonnegative().default(0),
	/** Highest term whose replacement was ordered. */
	orderedTerm: z.number().int().nonnegative().default(0),
	/** Endpoint that was ordered to lead after that term. */
	orderedId: z.string().optional(),
	/** Highest term that a promoted endpoint was seen to lead. */
	seenTerm: z.number().int().nonnegative().default(0),
});

type DutyRecord = z.infer<typeof recordSchema>;

/** What the store holds of a duty. */
type ReadDuty = {
	readonly record: DutyRecord | undefined;
	/** Version of its row; zero where there is none. */
	readonly version: number;
	readonly storeNowMs: number;
	/** The store's version at this answer. */
	readonly storeVersion: number;
};

/** A duty that this node took. */
export type HeldDuty = {
	readonly epoch: number;
	/** Term to be replaced: the asked one, or a later one that others began to replace. */
	readonly term: number;
	/** Endpoint that was ordered before to lead after this term: the order may still be carried out. */
	readonly orderedId: string | undefined;
	/** The row as it is while nothing else is written. */
	readonly record: DutyRecord;
	readonly version: number;
	readonly storeNowMs: number;
	/** When the store answered, on this node's clock. */
	readonly acquiredAtMs: number;
};

/** Why a duty was not taken. */
export type DutyRefusal = {
	readonly reason: 'storeAway' | 'heldByAnother' | 'raced';
	/** Time until it may be taken, where that is known. */
	readonly waitMs?: number;
	/** What the store's calls came to, where they failed. */
	readonly detail?: string;
};

/** How far the replacement of a group's primary has come, by the store's word. */
export type ReplacementState = {
	/** Highest term that is being replaced or whose replacement was ordered; zero for none. */
	readonly begunTerm: number;
	/** Highest term whose replacement was ordered. */
	readonly orderedTerm: number;
	/** Whether this node may take the duty: it holds it, or nobody has used it for a while. */
	readonly mayTakeOver: boolean;
	/** The store's version at its answer, where this is one. */
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

/** What a node knows of a group's terms from the group itself. */
export type KnownTerms = {
	/** Term that the primary leads. */
	readonly primaryTerm: number;
	/** Highest term whose replacement has begun, as promoters or the store said; it may have been ordered. */
	readonly begunTerm: number;
};

/** Epochs of one era of the store. */
const epochsPerEra = 1_000_000;

/** A duty that nobody has taken. */
const emptyRecord: DutyRecord = {
	holder: '', epoch: 0, usedAtMs: 0, claimId: '', term: 0, orderedTerm: 0, seenTerm: 0,
};

/** Why the store's word on a duty does not count. */
const restoreNotSettled: PlatformFault = {kind: 'unavailable', detail: 'the store came back from an older copy a moment ago'};

/** Time after which a write whose answer was lost is looked for. */
const rereadDelayMs = 50;

/** Takes duties for this node. */
export class PromotionDuties {
	private readonly _services: DutyServices;
	private readonly _leaseMs: number;
	/** Duties as they were last seen in the store, by service. */
	private readonly _seen = new Map<string, DutyRecord>();

	constructor(services: DutyServices, leaseMs: number) {
		this._services = services;
		this._leaseMs = leaseMs;
	}

	/** Takes the duty for replacing the primary of a term, unless another node used it a moment ago. */
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
	 * Puts on record that an endpoint is about to be ordered to lead; resolves with the duty if it
	 * still was this node's, which the write's condition proves.
	 */
	async recordOrder(service: string, duty: HeldDuty, endpointId: string): Promise<Either<DutyRefusal, HeldDuty>> {
		const storeNowMs = duty.storeNowMs + (this._services.clock.nowMs() - duty.acquiredAtMs);
		const record: DutyRecord = {
			...duty.record, usedAtMs: storeNowMs, orderedTerm: duty.term, orderedId: endpointId,
		};
		const written = await this._writeAndVerify(service, record, rowVersionOf(duty));
		return written.map(version => ({...this._toHeldDuty(record, version, storeNowMs), orderedId: duty.orderedId}));
	}

	/** How far a replacement has come. */
	async state(service: string): Promise<Either<PlatformFault, ReplacementState>> {
		const read = await this._read(service);
		return read.chain<PlatformFault, ReplacementState>(({record, version, storeNowMs, storeVersion}) => {
			if (!this._services.restores.isSettled) {
				return Left(restoreNotSettled);
			}

			if (!record && version > 0) {
				// It may have named any term.
				return Left({kind: 'invalid', detail: 'the row cannot be read'});
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
	 * Takes back that a term is being replaced: nothing was ordered, or `refusedBefore` says what
	 * had been ordered before an order that was refused. The duty stays this node's.
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

	/** Puts on record which term an order has led to: whoever replaces a primary next replaces none of an earlier one. */
	async recordEffect(service: string, duty: HeldDuty, seenTerm: number): Promise<void> {
		const written = await this._writeAndVerify(service, {...duty.record, seenTerm}, rowVersionOf(duty));
		written.ifLeft(fault => {
			this._services.log.event('promotionDutyMissed', {group: service, ...fault});
		});
	}

	/** Writes what this node knows of a group's promotions where the store has lost it. */
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

	/** Time until another node's duty may be taken, or one that the store has lost. */
	private _waitMs(record: DutyRecord | undefined, storeNowMs: number): number {
		const heldMs = record === undefined || record.holder === this._services.node ? 0 : record.usedAtMs + this._leaseMs - storeNowMs;
		return Math.max(heldMs, this._leaseMs - this._services.restores.agoMs);
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

	/** Writes the row if it still has a version; resolves with its new one. A write whose answer was lost may have taken effect: the row says so. */
	private async _writeAndVerify(service: string, record: DutyRecord, {version: expectedVersion, era}: RowVersion): Promise<Either<DutyRefusal, number>> {
		const {store, clock} = this._services;
		const value = JSON.stringify(record);
		const written = await store.write({
			table: dutyTable, partition: service, key: dutyKey, value, expectedVersion,
		});
		const checkEra = (version: number): Either<DutyRefusal, number> => {
			if (eraOf(version) !== era) {
				return Left({reason: 'raced', detail: 'the store came back from an older copy meanwhile'});
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

/** A row's version, zero where there was none, and the store's era when it was read. */
type RowVersion = {
	readonly version: number;
	readonly era: number;
};

function rowVersionOf({version}: HeldDuty): RowVersion {
	return {version, era: eraOf(version)};
}

/**
 * A record with what was seen before a restore and is known from the group; undefined where
 * nothing of it is lost. A replacement that the copy shows begun may have been ordered since.
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

/** A row of another form is overwritten under its version; the epoch then starts above zero again. */
function parseRecord(row: StoredRow | undefined): DutyRecord | undefined {
	return row?.value === undefined ? undefined : parseJsonWith(recordSchema, row.value).toMaybe().extract();
}
