/**
 * Who promotes endpoints of a service, agreed on by conditional writes in the store. Each
 * taking of the duty has an epoch above every earlier one; it is never used twice.
 *
 * The duty's row also says which term is being replaced, and, for good, the highest term whose
 * replacement was ordered: an order may be carried out long after its call was given up on, so
 * a term that was ordered away is never believed again.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {z} from 'zod';
import type {
	Clock, Log, PlatformFault, Random, RowStore, StoredRow,
} from '../services/services.js';
import {pauseFor} from '../lifecycle/timing.js';
import {parseJsonWith} from '../configuration/problems.js';

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
	readonly takenAtMs: number;
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
	readonly isFree: boolean;
	/** The store's version at its answer, where this is one. */
	readonly storeVersion?: number;
};

type DutyServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly store: RowStore;
	readonly node: string;
};

/** Time after which a write whose answer was lost is looked for. */
const lookAgainMs = 50;

/** Takes duties for this node. */
export class PromotionDuties {
	private readonly _services: DutyServices;
	private readonly _leaseMs: number;

	constructor(services: DutyServices, leaseMs: number) {
		this._services = services;
		this._leaseMs = leaseMs;
	}

	/** Takes the duty for replacing the primary of a term, unless another node used it a moment ago. */
	async take(service: string, term: number): Promise<Either<DutyRefusal, HeldDuty>> {
		const {node, random} = this._services;
		const read = await this._read(service);
		if (read.isLeft()) {
			return Left({reason: 'storeAway', detail: `read: ${read.extract().detail}`});
		}

		const {record: current, version, storeNowMs} = read.unsafeCoerce();
		const waitMs = current ? this._waitMs(current, storeNowMs) : 0;
		if (waitMs > 0) {
			return Left({reason: 'heldByAnother', waitMs});
		}

		const record: DutyRecord = {
			holder: node,
			epoch: (current?.epoch ?? 0) + 1,
			usedAtMs: storeNowMs,
			term: Math.max(term, begunTermOf(current), current?.seenTerm ?? 0),
			orderedTerm: current?.orderedTerm ?? 0,
			orderedId: current?.orderedId,
			seenTerm: current?.seenTerm ?? 0,
			claimId: `${node}-${Math.floor(random.next() * Number.MAX_SAFE_INTEGER).toString(36)}`,
		};
		const written = await this._writeForSure(service, record, version);
		return written.map(newVersion => this._held(record, newVersion, storeNowMs));
	}

	/**
	 * Puts on record that an endpoint is about to be ordered to lead; resolves with the duty if it
	 * still was this node's, which the write's condition proves.
	 */
	async recordOrder(service: string, duty: HeldDuty, endpointId: string): Promise<Either<DutyRefusal, HeldDuty>> {
		const storeNowMs = duty.storeNowMs + (this._services.clock.nowMs() - duty.takenAtMs);
		const record: DutyRecord = {
			...duty.record, usedAtMs: storeNowMs, orderedTerm: duty.term, orderedId: endpointId,
		};
		const written = await this._writeForSure(service, record, duty.version);
		return written.map(version => ({...this._held(record, version, storeNowMs), orderedId: duty.orderedId}));
	}

	/** How far a replacement has come. */
	async state(service: string): Promise<Either<PlatformFault, ReplacementState>> {
		const read = await this._read(service);
		return read.chain<PlatformFault, ReplacementState>(({record, version, storeNowMs, storeVersion}) => {
			if (!record && version > 0) {
				// It may have named any term.
				return Left({kind: 'invalid', detail: 'the row cannot be read'});
			}

			return Right({
				begunTerm: begunTermOf(record),
				orderedTerm: record?.orderedTerm ?? 0,
				isFree: record === undefined || this._waitMs(record, storeNowMs) <= 0,
				storeVersion,
			});
		});
	}

	/**
	 * Takes back that a term is being replaced: nothing was ordered, or `refusedBefore` says what
	 * had been ordered before an order that was refused. The duty stays this node's.
	 */
	async giveUp(service: string, duty: HeldDuty, refusedBefore?: HeldDuty): Promise<void> {
		const {orderedTerm, orderedId} = refusedBefore?.record ?? duty.record;
		const record: DutyRecord = {
			...duty.record, term: 0, orderedTerm, orderedId,
		};
		const written = await this._writeForSure(service, record, duty.version);
		written.ifLeft(fault => {
			this._services.log.event('promotionNotGivenUp', {group: service, ...fault});
		});
	}

	/** Puts on record which term an order has led to: whoever replaces a primary next replaces none of an earlier one. */
	async recordEffect(service: string, duty: HeldDuty, seenTerm: number): Promise<void> {
		const written = await this._writeForSure(service, {...duty.record, seenTerm}, duty.version);
		written.ifLeft(fault => {
			this._services.log.event('promotionDutyMissed', {group: service, ...fault});
		});
	}

	private _held(record: DutyRecord, version: number, storeNowMs: number): HeldDuty {
		const {epoch, term, orderedTerm, orderedId} = record;
		return {
			epoch, term, record, version, storeNowMs, orderedId: orderedTerm >= term ? orderedId : undefined, takenAtMs: this._services.clock.nowMs(),
		};
	}

	/** Time until another node's duty may be taken. */
	private _waitMs({holder, usedAtMs}: DutyRecord, storeNowMs: number): number {
		return holder === this._services.node ? 0 : usedAtMs + this._leaseMs - storeNowMs;
	}

	private async _read(service: string): Promise<Either<PlatformFault, ReadDuty>> {
		const read = await this._services.store.read(dutyTable, service);
		return read.map(({rows, storeNowMs, version: storeVersion}) => {
			const row = rows.find(({key}) => key === dutyKey);
			return {
				record: parseRecord(row), version: row?.version ?? 0, storeNowMs, storeVersion,
			};
		});
	}

	/** Writes the row if it still has a version; resolves with its new one. A write whose answer was lost may have taken effect: the row says so. */
	private async _writeForSure(service: string, record: DutyRecord, expectedVersion: number): Promise<Either<DutyRefusal, number>> {
		const {store, clock} = this._services;
		const value = JSON.stringify(record);
		const written = await store.write({
			table: dutyTable, partition: service, key: dutyKey, value, expectedVersion,
		});
		if (!written.isLeft()) {
			return Right(written.unsafeCoerce().version);
		}

		const fault = written.extract();
		if (fault.kind === 'throttled') {
			return Left({reason: 'storeAway', detail: `write: ${fault.detail}`});
		}

		await pauseFor(clock, lookAgainMs);
		const read = await store.read(dutyTable, service);
		return read
			.mapLeft((failed): DutyRefusal => ({reason: 'storeAway', detail: `write: ${fault.detail}, read: ${failed.detail}`}))
			.chain<DutyRefusal, number>(({rows}) => {
				const row = rows.find(({key}) => key === dutyKey);
				return row?.value === value ? Right(row.version) : Left({reason: 'raced'});
			});
	}
}

function begunTermOf(record: DutyRecord | undefined): number {
	return record ? Math.max(record.term, record.orderedTerm) : 0;
}

/** A row of another form is overwritten under its version; the epoch then starts above zero again. */
function parseRecord(row: StoredRow | undefined): DutyRecord | undefined {
	return row?.value === undefined ? undefined : parseJsonWith(recordSchema, row.value).toMaybe().extract();
}
