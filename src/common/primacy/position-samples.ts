/**
 * Positions that a group's primary was proved to have reached, and when. They give the minimum
 * position for reads that accept some staleness.
 */
import type {LogPosition} from '../positions/log-position.js';

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

	clear(): void {
		this._samples = [];
	}
}
