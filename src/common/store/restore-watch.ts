/**
 * Knows when the store last came back from an older copy.
 *
 * A node that saw it counts from then on. One that started later cannot tell, so that the others
 * write the time down; until it has read that, it takes the restore for one of this moment.
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
	/** On the store's clock. */
	atMs: z.number(),
});

type RestoreServices = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly options: RestoreOptions;
};

/** What others need to know of restores. */
export type RestoreStatus = Pick<RestoreWatch, 'agoMs' | 'isSettled' | 'mayMissRegistrations' | 'onRestore' | 'options'>;

/** Takes in the versions of all that the store says. */
export class RestoreWatch implements Disposable {
	/** Fires when the store has come back from an older copy, or had before this node's first question. */
	readonly onRestore: Event<void>;
	readonly options: RestoreOptions;

	private readonly _services: RestoreServices;
	private readonly _onRestore = new Emitter<void>();
	/** Newest version that was seen; undefined before the store's first answer. */
	private _newest: number | undefined;
	private _restoredAtMs = Number.NEGATIVE_INFINITY;

	constructor(services: RestoreServices) {
		this.onRestore = this._onRestore.event;
		this.options = services.options;
		this._services = services;
	}

	/** Era of the newest version that was seen. */
	get era(): number {
		return eraOf(this._newest ?? 0);
	}

	/** Time since the store came back, or since this node heard of it; infinite where it never did. */
	get agoMs(): number {
		return this._services.clock.nowMs() - this._restoredAtMs;
	}

	/** Whether what the store says can be relied on: what others lost by a restore is written again. */
	get isSettled(): boolean {
		return this.agoMs >= this.options.settleMs;
	}

	/** Whether nodes may be at work that the store does not name. */
	get mayMissRegistrations(): boolean {
		return this.agoMs < this.options.unregisteredMs;
	}

	/** Takes in the version of an answer. */
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

	/** Takes in when the restore of an era was noticed first, as another node wrote it down. */
	applyRecord(value: string | undefined, storeNowMs: number): void {
		const record = parseRecord(value);
		if (record?.era === this.era) {
			this._restoredAtMs = Math.min(this._restoredAtMs, this._services.clock.nowMs() - Math.max(0, storeNowMs - record.atMs));
		}
	}

	/** Whether a row holds the time of the newest restore. */
	isRecordedIn(value: string | undefined): boolean {
		return parseRecord(value)?.era === this.era;
	}

	/** The row that says when the newest restore was, at a time on the store's clock. */
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
