/**
 * Exponentially weighted moving average of an endpoint's answer times.
 */
import type {Clock} from '../services/services.js';
import type {PoolOptions} from './constants.js';

type TimeOptions = Pick<PoolOptions, 'answerTimeWeight' | 'answerTimeHalfLifeMs' | 'assumedAnswerMs' | 'silenceFactor' | 'leastSilenceMs'>;

/** Average answer time of one endpoint. */
export class AnswerTimes {
	private readonly _clock: Clock;
	private readonly _options: TimeOptions;
	private _averageMs: number;
	private _updatedAtMs: number;

	constructor(clock: Clock, options: TimeOptions) {
		this._clock = clock;
		this._options = options;
		this._averageMs = options.assumedAnswerMs;
		this._updatedAtMs = clock.nowMs();
	}

	/** Expected time of the next answer. An average without new answers decays towards the assumed time, so that a slow endpoint is tried again. */
	get averageMs(): number {
		const {assumedAnswerMs, answerTimeHalfLifeMs} = this._options;
		const remainingWeight = 0.5 ** ((this._clock.nowMs() - this._updatedAtMs) / answerTimeHalfLifeMs);
		return assumedAnswerMs + ((this._averageMs - assumedAnswerMs) * remainingWeight);
	}

	/** Time without an answer after which the connection of a running statement is suspected to be dead. */
	get silenceThresholdMs(): number {
		return Math.max(this._options.leastSilenceMs, this.averageMs * this._options.silenceFactor);
	}

	note(durationMs: number): void {
		const {answerTimeWeight: weight} = this._options;
		this._averageMs = (this.averageMs * (1 - weight)) + (durationMs * weight);
		this._updatedAtMs = this._clock.nowMs();
	}
}
