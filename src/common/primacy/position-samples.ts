/**
 * Positions that a group's primary was proved to have reached, and when. They give the minimum
 * position for reads that accept some staleness.
 */
import type {PrimaryTimes} from '../load/replication-lag.js';
import type {LogPosition} from '../positions/log-position.js';
import {hasReached} from '../positions/log-position.js';

type Sample = {
	/** When the request was sent; the primary had reached at least this position afterwards. */
	readonly sentAtMs: number;
	readonly position: LogPosition;
};

/** Keeps position samples of one term, oldest first. */
export class PositionSamples {
	private readonly _spacingMs: number;
	private readonly _keptMs: number;
	private _samples: Sample[] = [];

	constructor(spacingMs: number, keptMs: number) {
		this._spacingMs = spacingMs;
		this._keptMs = keptMs;
	}

	/** When the request of the newest sample was sent; minus infinity without a sample. */
	get newestMs(): number {
		return this._samples.at(-1)?.sentAtMs ?? Number.NEGATIVE_INFINITY;
	}

	/** Position of the newest sample; undefined without a sample. */
	get newest(): LogPosition | undefined {
		return this._samples.at(-1)?.position;
	}

	add(sentAtMs: number, position: LogPosition): void {
		if (sentAtMs < this.newestMs + this._spacingMs) {
			return;
		}

		this._samples.push({sentAtMs, position});
		const dropBeforeMs = sentAtMs - this._keptMs;
		if (this._samples[0].sentAtMs < dropBeforeMs) {
			this._samples = this._samples.filter(sample => sample.sentAtMs >= dropBeforeMs);
		}
	}

	/**
	 * Returns the lowest sampled position that covers everything acknowledged before a moment;
	 * undefined if no sample is that recent.
	 */
	floor(momentMs: number): LogPosition | undefined {
		return this._samples.find(({sentAtMs}) => sentAtMs >= momentMs)?.position;
	}

	/** Returns when the primary was at the latest sampled position that a log up to `position` includes, and at the earliest that it lacks. */
	timesAround(position: LogPosition): PrimaryTimes {
		let missedAtMs: number | undefined;
		for (let index = this._samples.length - 1; index >= 0; index--) {
			const sample = this._samples[index];
			if (hasReached(position, sample.position)) {
				return {includedAtMs: sample.sentAtMs, missedAtMs};
			}

			missedAtMs = sample.sentAtMs;
		}

		return {includedAtMs: undefined, missedAtMs};
	}

	/**
	 * Returns since when the primary is known to have reached a position; the time of the newest sample if
	 * none shows the position, and undefined without a sample.
	 */
	reachedAtMs(position: LogPosition): number | undefined {
		let reachedAtMs = this._samples.at(-1)?.sentAtMs;
		for (let index = this._samples.length - 1; index >= 0 && hasReached(this._samples[index].position, position); index--) {
			reachedAtMs = this._samples[index].sentAtMs;
		}

		return reachedAtMs;
	}

	clear(): void {
		this._samples = [];
	}
}
