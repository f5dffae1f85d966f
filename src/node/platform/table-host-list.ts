/**
 * The platform's host list, kept in its table: one item per host, in the partition `hosts`.
 *
 * Renewing the item is the heartbeat. Each item carries its expiry time by the platform's
 * clock, which writers and readers know from the platform's responses, so the clocks of hosts
 * need not agree. The service deletes expired items with a delay; until then readers ignore
 * them.
 *
 * A name belongs to the process that registered it last: that process takes the name over with
 * its first registration, and renewals of an older process fail with `conditionFailed`.
 */
import {Left, Right, type Either} from 'purify-ts';
import {z} from 'zod';
import type {
	Host, HostList, PlatformFault, Table, TableItem,
} from '../../common/services/services.js';
import {membershipDefaults} from '../../common/membership/constants.js';
import {parseJsonWith} from '../../common/configuration/problems.js';
import {hostsPageItems, hostsPartition, intervalsUntilExpiry} from './constants.js';
import type {PlatformTime} from './types.js';

const hostSchema = z.object({
	name: z.string(),
	availabilityZone: z.string(),
	region: z.string(),
	peerHost: z.string(),
	peerPort: z.int(),
	operatorPort: z.int(),
	isLeaving: z.boolean(),
	incarnation: z.string(),
}) satisfies z.ZodType<Host>;

/** The host list of one table. */
export class TableHostList implements HostList {
	private readonly _table: Table;
	private readonly _time: PlatformTime;
	/** Revision of this host's item; undefined before the first registration. */
	private _revision: number | undefined;
	private _changeCount = 0;
	private _hostCount = 1;
	private _previous: Promise<unknown> = Promise.resolve();

	constructor(table: Table, time: PlatformTime) {
		this._table = table;
		this._time = time;
	}

	async read(): Promise<Either<PlatformFault, readonly Host[]>> {
		const hosts: Host[] = [];
		let afterSort: string | undefined = '';
		while (afterSort !== undefined) {
			const page: Either<PlatformFault, readonly TableItem[]> = await this._table.query(hostsPartition, afterSort, hostsPageItems);
			if (page.isLeft()) {
				return page;
			}

			const items: readonly TableItem[] = page.orDefault([]);
			hosts.push(...items.filter(item => this._isUnexpired(item)).flatMap(item => decodeHost(item)));
			afterSort = items.length < hostsPageItems ? undefined : items.at(-1)!.sort;
		}

		this._hostCount = Math.max(1, hosts.length);
		return Right(hosts);
	}

	/** Registers or renews this host; the registrations of one process run in sequence, so that an older state never overwrites a newer one. */
	async register(host: Host): Promise<Either<PlatformFault, void>> {
		const registered = this._registerAfter(this._previous, host);
		this._previous = registered;
		return registered;
	}

	private async _registerAfter(previous: Promise<unknown>, host: Host): Promise<Either<PlatformFault, void>> {
		await previous;
		const written = this._revision === undefined ? await this._takeOver(host) : await this._write(host, this._revision);
		const isConflict = written.isLeft() && written.extract().kind === 'conditionFailed';
		return isConflict ? this._resolveConflict(host) : written;
	}

	/** Makes the first registration, which replaces any process that held the name before. */
	private async _takeOver(host: Host): Promise<Either<PlatformFault, void>> {
		const found = await this._table.get(hostsPartition, host.name);
		return found.isLeft() ? found : this._write(host, found.orDefault(undefined)?.revision ?? 0);
	}

	/** Handles an item that is not the one written last: it expired, or it was changed by a write whose answer was lost or by another process. */
	private async _resolveConflict(host: Host): Promise<Either<PlatformFault, void>> {
		const found = await this._table.get(hostsPartition, host.name);
		if (found.isLeft()) {
			return found;
		}

		const current = found.orDefault(undefined);
		const holder = current && this._isUnexpired(current) ? decodeHost(current).at(0) : undefined;
		if (this._revision !== undefined && holder && holder.incarnation !== host.incarnation) {
			return Left({kind: 'conditionFailed', detail: `the name is registered by incarnation ${holder.incarnation}`});
		}

		return this._write(host, current?.revision ?? 0);
	}

	private async _write(host: Host, expectedRevision: number): Promise<Either<PlatformFault, void>> {
		const nowMs = this._time.platformNowMs();
		if (nowMs === undefined) {
			return Left({kind: 'unavailable', detail: 'the platform\'s time is not known'});
		}

		this._changeCount++;
		const written = await this._table.put({
			partition: hostsPartition,
			sort: host.name,
			changeId: `${host.incarnation}/${this._changeCount}`,
			body: JSON.stringify(host),
			expiresAtMs: nowMs + registrationExpiryMs(this._hostCount),
		}, expectedRevision);
		if (written.isRight()) {
			this._revision = written.extract().revision;
		}

		return written.map(() => undefined);
	}

	private _isUnexpired(item: TableItem): boolean {
		const nowMs = this._time.platformNowMs();
		return item.expiresAtMs === undefined || nowMs === undefined || item.expiresAtMs > nowMs;
	}
}

/** Returns the lifetime of a registration in ms, which follows from the interval at which this number of hosts renew theirs. */
export function registrationExpiryMs(hostCount: number): number {
	const {readIntervalMs, readIntervalPerHostMs, readsPerRegistration} = membershipDefaults;
	return intervalsUntilExpiry * readsPerRegistration * Math.max(readIntervalMs, readIntervalPerHostMs * hostCount);
}

/** Decodes the host of an item; an empty list if the body is not that of a host. */
function decodeHost(item: TableItem): Host[] {
	return parseJsonWith(hostSchema, item.body).map((host): Host[] => [host]).orDefault([]);
}
