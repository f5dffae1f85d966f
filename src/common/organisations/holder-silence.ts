/**
 * Tells a holder of budgets that is lost from one that only answers late.
 *
 * A holder that is slow for some nodes still grants operations to others. If the nodes that got no
 * answer in time had another node take its place, the budget would be given out twice.
 */
import type {Clock} from '../services/services.js';
import type {UsageOptions} from './constants.js';

/** Requests to one holder that were not answered in time, since its last answer. */
type Silence = {
	readonly sinceMs: number;
	lastMs: number;
};

type SilenceOptions = Pick<UsageOptions, 'holderLostAfterMs' | 'silenceForgottenMs'>;

/** Records which holders answer. */
export class HolderSilence {
	private readonly _clock: Clock;
	private readonly _options: SilenceOptions;
	private readonly _silent = new Map<string, Silence>();

	constructor(clock: Clock, options: SilenceOptions) {
		this._clock = clock;
		this._options = options;
	}

	/** Records an answer of a holder. */
	noteAnswer(name: string): void {
		this._silent.delete(name);
	}

	/** Records that a request sent at a time was not answered in time; returns whether the holder counts as lost. */
	noteNoAnswer(name: string, sentAtMs: number): boolean {
		const nowMs = this._clock.nowMs();
		const known = this._silent.get(name);
		if (!known || nowMs - known.lastMs > this._options.silenceForgottenMs) {
			this._silent.set(name, {sinceMs: sentAtMs, lastMs: nowMs});
			return false;
		}

		known.lastMs = nowMs;
		return nowMs - known.sinceMs >= this._options.holderLostAfterMs;
	}
}
