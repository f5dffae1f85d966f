/**
 * Tracks when the store was last restored from an older snapshot.
 *
 * A node that observed the restore measures from then on. A node that started later cannot tell when
 * it happened, so the other nodes record the time; until the node has read that record, it assumes
 * that the restore has just happened.
 */
import {z} from 'zod';
import {parseJsonWith} from '../configuration/problems.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {Clock, Log, Metrics} from '../services/services.js';
import type {RestoreOptions} from './constants.js';
import {eraOf, versionFields} from './store-version.js';

const recordSchema = z.object({
	era: z.number().int().nonnegative(),
	/** Time of the restore on the store's clock, in milliseconds. */
	atMs: z.number(),
});

type RestoreServices = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly options: RestoreOptions;
};

/** The part of the watch that other modules read. */
export type RestoreStatus = Pick<RestoreWatch, 'agoMs' | 'isSettled' | 'mayMissRegistrations' | 'onRestore' | 'options'>;

/** Observes the version of every response of the store. */
export class RestoreWatch implements Disposable {
	/**
	 * Fires when the store was restored from an older snapshot, or had been restored before this
	 * node's first request.
	 */
	readonly onRestore: Event<void>;
	readonly options: RestoreOptions;

	private readonly _services: RestoreServices;
	private readonly _onRestore = new Emitter<void>();
	/** Newest observed version; undefined before the store's first response. */
	private _newest: number | undefined;
	private _restoredAtMs = Number.NEGATIVE_INFINITY;

	constructor(services: RestoreServices) {
		this.onRestore = this._onRestore.event;
		this.options = services.options;
		this._services = services;
	}

	/** Era of the newest observed version. */
	get era(): number {
		return eraOf(this._newest ?? 0);
	}

	/** Time in milliseconds since the last restore, or since this node learned of it; infinite if there was none. */
	get agoMs(): number {
		return this._services.clock.nowMs() - this._restoredAtMs;
	}

	/** Whether the store's content can be relied on, because what was lost by the last restore has been written again. */
	get isSettled(): boolean {
		return this.agoMs >= this.options.settleMs;
	}

	/** Whether nodes may be running whose registrations the store has lost. */
	get mayMissRegistrations(): boolean {
		return this.agoMs < this.options.unregisteredMs;
	}

	/** Observes the version of a response. */
	note(version: number): void {
		const {clock, log, metrics} = this._services;
		const before = this._newest;
		const era = eraOf(version);
		this._newest = Math.max(version, before ?? 0);
		if (era <= eraOf(before ?? 0)) {
			return;
		}

		this._restoredAtMs = clock.nowMs();
		metrics.gauge('storeEra', era);
		if (before !== undefined) {
			const {era: fromEra, version: fromVersion} = versionFields(before);
			log.event('storeRestored', {fromEra, fromVersion, ...versionFields(version)});
		}

		this._onRestore.fire();
	}

	/** Applies the time of a restore that another node recorded; ignored if it is of another era. */
	applyRecord(value: string | undefined, storeNowMs: number): void {
		const record = parseRecord(value);
		if (record?.era === this.era) {
			this._restoredAtMs = Math.min(this._restoredAtMs, this._services.clock.nowMs() - Math.max(0, storeNowMs - record.atMs));
		}
	}

	/** Returns whether a row's value records the time of the newest restore. */
	isRecordedIn(value: string | undefined): boolean {
		return parseRecord(value)?.era === this.era;
	}

	/**
	 * Returns the row's value that records the time of the newest restore, given the current time on
	 * the store's clock in milliseconds.
	 */
	recordAt(storeNowMs: number): string {
		return JSON.stringify({era: this.era, atMs: storeNowMs - this.agoMs});
	}

	dispose(): void {
		this._onRestore.dispose();
	}
}

function parseRecord(value: string | undefined): z.output<typeof recordSchema> | undefined {
	return value === undefined ? undefined : parseJsonWith(recordSchema, value).toMaybe().extract();
}
