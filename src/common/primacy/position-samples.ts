/**
 * Positions that a group's primary was proved to have, and when: the floor of reads that
 * accept data of some age.
 */
import type {LogPosition} from '../positions/log-position.js';

type Sample = {
	/** When the question was sent: the primary had at least this position afterwards. */
	readonly sentAtMs: number;
	readonly position: LogPosition;
};

/** Samples of one term, oldest first. */
export class PositionSamples {
	private readonly _spacingMs: number;
	private readonly _keptMs: number;
	private _samples: Sample[] = [];

	constructor(spacingMs: number, keptMs: number) {
		this._spacingMs = spacingMs;
		this._keptMs = keptMs;
	}

	/** When the newest sample's question was sent; minus infinity without any. */
	get newestMs(): number {
		return this._samples.at(-1)?.sentAtMs ?? Number.NEGATIVE_INFINITY;
	}

	/** Position of the newest sample. */
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
	 * The lowest position that holds everything acknowledged before a moment; undefined when
	 * no sample is that new.
	 */
	floor(momentMs: number): LogPosition | undefined {
		return this._samples.find(({sentAtMs}) => sentAtMs >= momentMs)?.position;
	}

	clear(): void {
		this._samples = [];
	}
}
