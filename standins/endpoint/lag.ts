/**
 * Draws application delays from a lognormal distribution given by two percentiles.
 */
import type {Random} from '../../src/common/services/services.js';
import type {LagDistribution} from './types.js';

/** The 99th percentile of the standard normal distribution. */
const normalP99 = 2.326_347_874;

/** One delay in milliseconds. */
export function drawLagMs(lag: LagDistribution, random: Random): number {
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
