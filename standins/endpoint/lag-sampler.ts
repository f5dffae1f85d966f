/**
 * Draws application delays from a lognormal distribution given by two percentiles.
 */
import type {Clock, Random} from '../../src/common/services/services.js';
import {lagRedrawMs} from './constants.js';
import type {LagDistribution} from './types.js';

/** The 99th percentile of the standard normal distribution. */
const normalP99 = 2.326_347_874;

/** Draws one delay in milliseconds. */
function drawLagMs(lag: LagDistribution, random: Random): number {
	if (lag.p50Ms <= 0) {
		return 0;
	}

	const sigma = Math.log(Math.max(lag.p99Ms, lag.p50Ms) / lag.p50Ms) / normalP99;
	if (sigma === 0) {
		return lag.p50Ms;
	}

	return lag.p50Ms * Math.exp(sigma * drawNormal(random));
}

/** Draws a standard normal value with the Box-Muller transform. */
function drawNormal(random: Random): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
	return radius * Math.cos(2 * Math.PI * random.next());
}

/**
 * Samples application delays and keeps each sample for `lagRedrawMs`. Entries are applied in order, so with a
 * new delay for each entry, every entry would wait for the longest delay before it, and an instance under load
 * would lag far more than the distribution specifies.
 */
export class LagSampler {
	private readonly _clock: Clock;
	private readonly _random: Random;
	private _distribution: LagDistribution;
	private _currentMs = 0;
	private _drawnAtMs = Number.NEGATIVE_INFINITY;

	constructor(distribution: LagDistribution, clock: Clock, random: Random) {
		this._distribution = distribution;
		this._clock = clock;
		this._random = random;
	}

	get distribution(): LagDistribution {
		return this._distribution;
	}

	/** Replaces the distribution; the next delay is drawn from the new one. */
	set distribution(distribution: LagDistribution) {
		this._distribution = distribution;
		this._drawnAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Delay in milliseconds for entries that are received now. */
	currentMs(): number {
		const nowMs = this._clock.nowMs();
		if (nowMs - this._drawnAtMs >= lagRedrawMs) {
			this._drawnAtMs = nowMs;
			this._currentMs = drawLagMs(this._distribution, this._random);
		}

		return this._currentMs;
	}
}
