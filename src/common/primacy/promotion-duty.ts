/**
 * Who promotes endpoints of a service, agreed on by conditional writes in the store. Each
 * taking of the duty has an epoch above every earlier one; it is never used twice.
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
});

type DutyRecord = z.infer<typeof recordSchema>;

/** What the store holds of a duty. */
type ReadDuty = {
	readonly record: DutyRecord | undefined;
	/** Version of its row; zero where there is none. */
	readonly version: number;
	readonly storeNowMs: number;
};

/** A duty that this node took. */
export type HeldDuty = {
	readonly epoch: number;
	readonly claimId: string;
};

/** Why a duty was not taken. */
export type DutyRefusal = {
	readonly reason: 'storeAway' | 'heldByAnother' | 'raced';
	/** Time until it may be taken, where that is known. */
	readonly waitMs?: number;
	/** What the store's calls came to, where they failed. */
	readonly detail?: string;
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
		const {node} = this._services;
		const read = await this._read(service);
		if (read.isLeft()) {
			return Left({reason: 'storeAway', detail: `read: ${read.extract().detail}`});
		}

		const {record: current, version, storeNowMs} = read.unsafeCoerce();
		const waitMs = current && current.holder !== node ? current.usedAtMs + this._leaseMs - storeNowMs : 0;
		if (waitMs > 0) {
			return Left({reason: 'heldByAnother', waitMs});
		}

		const record: DutyRecord = {
			holder: node,
			epoch: (current?.epoch ?? 0) + 1,
			usedAtMs: storeNowMs,
			term,
			claimId: `${node}-${Math.floor(this._services.random.next() * Number.MAX_SAFE_INTEGER).toString(36)}`,
		};
		const written = await this._write(service, record, version);
		if (written.isLeft()) {
			return this._outcomeOf(written.extract(), service, record);
		}

		return Right({epoch: record.epoch, claimId: record.claimId});
	}

	/** Whether the duty is still this node's, by the store's word. */
	async isHeld(service: string, duty: HeldDuty): Promise<boolean> {
		const read = await this._read(service);
		return read.map(({record}) => record?.claimId === duty.claimId).orDefault(false);
	}

	/** The term that some node has begun to replace, by the store's word; zero for none. */
	async begunTerm(service: string): Promise<Either<PlatformFault, number>> {
		const read = await this._read(service);
		return read.map(({record}) => record?.term ?? 0);
	}

	/** Takes back that a term is being replaced: nothing was ordered. The duty stays this node's. */
	async giveUp(service: string, duty: HeldDuty): Promise<void> {
		const read = await this._read(service);
		const found = read.toMaybe().extract();
		if (found?.record?.claimId !== duty.claimId) {
			return;
		}

		const written = await this._write(service, {...found.record, term: 0}, found.version);
		written.ifLeft(fault => {
			this._services.log.event('promotionNotGivenUp', {group: service, ...fault});
		});
	}

	private async _read(service: string): Promise<Either<PlatformFault, ReadDuty>> {
		const read = await this._services.store.read(dutyTable, service);
		return read.map(({rows, storeNowMs}) => {
			const row = rows.find(({key}) => key === dutyKey);
			return {record: parseRecord(row), version: row?.version ?? 0, storeNowMs};
		});
	}

	private async _write(service: string, record: DutyRecord, expectedVersion: number): ReturnType<RowStore['write']> {
		return this._services.store.write({
			table: dutyTable, partition: service, key: dutyKey, value: JSON.stringify(record), expectedVersion,
		});
	}

	/** A write whose answer was lost may have taken effect: the row says so. */
	private async _outcomeOf(fault: PlatformFault, service: string, {claimId, epoch}: DutyRecord): Promise<Either<DutyRefusal, HeldDuty>> {
		if (fault.kind === 'throttled') {
			return Left({reason: 'storeAway', detail: `write: ${fault.detail}`});
		}

		await pauseFor(this._services.clock, lookAgainMs);
		const read = await this._read(service);
		return read
			.mapLeft((failed): DutyRefusal => ({reason: 'storeAway', detail: `write: ${fault.detail}, read: ${failed.detail}`}))
			.chain<DutyRefusal, HeldDuty>(({record}) => record?.claimId === claimId ? Right({epoch, claimId}) : Left({reason: 'raced'}));
	}
}

/** A row of another form is overwritten under its version; the epoch then starts above zero again. */
function parseRecord(row: StoredRow | undefined): DutyRecord | undefined {
	return row?.value === undefined ? undefined : parseJsonWith(recordSchema, row.value).toMaybe().extract();
}
