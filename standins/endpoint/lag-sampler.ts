/**
 * Draws application delays from a lognormal distribution given by two percentiles.
 */
import type {Clock, Random} from '../../src/common/services/services.js';
import {lagRedrawMs} from './constants.js';
import type {LagDistribution} from './types.js';

/** The 99th percentile of the standard normal distribution. */
const normalP99 = 2.326_347_874;

/** One delay in milliseconds. */
function drawLagMs(lag: LagDistribution, random: Random): number {
	if (lag.p50Ms <= 0) {
		return 0;
	}

	const spread = Math.log(Math.max(lag.p99Ms, lag.p50Ms) / lag.p50Ms) / normalP99;
	if (spread === 0) {
		return lag.p50Ms;
	}

	return lag.p50Ms * Math.exp(spread * drawNormal(random));
}

/** A standard normal value by the Box-Muller transform. */
function drawNormal(random: Random): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
	return radius * Math.cos(2 * Math.PI * random.next());
}

/**
 * Delays that stay the same for a while. Entries are applied in order, so that a delay
 * drawn for each entry would make every entry wait for the longest one before it, and a
 * busy instance would lag far more than the distribution says.
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

	/** Uses another distribution from now on. */
	set distribution(distribution: LagDistribution) {
		this._distribution = distribution;
		this._drawnAtMs = Number.NEGATIVE_INFINITY;
	}

	/** Delay of what has been received now. */
	currentMs(): number {
		const nowMs = this._clock.nowMs();
		if (nowMs - this._drawnAtMs >= lagRedrawMs) {
			this._drawnAtMs = nowMs;
			this._currentMs = drawLagMs(this._distribution, this._random);
		}

		return this._currentMs;
	}
}
