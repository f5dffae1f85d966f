/**
 * Return times of callers that are refused because their group has no primary.
 */
import {PromotionForecast} from '../load/promotion-forecast.js';
import type {PrimaryTracker} from '../primacy/primary-tracker.js';
import type {LineSessionServices, RunnableStatement} from './types.js';

/** Forecasts of the promotions of all groups. */
export class PrimaryReturnTimes {
	private readonly _services: LineSessionServices;
	private readonly _forecasts = new Map<string, PromotionForecast>();

	constructor(services: LineSessionServices) {
		this._services = services;
	}

	/** Records that statements of a group reach its primary. */
	noteFound({service}: PrimaryTracker): void {
		this._forecasts.get(service)?.noteFound(this._services.clock.nowMs());
	}

	/** Retry time of a statement that is refused: the expected end of the promotion if it is known and in time, the configured delay otherwise. */
	retryAfterMs(group: PrimaryTracker, {organisation, deadlineMs, goalAtMs}: Pick<RunnableStatement, 'organisation' | 'deadlineMs' | 'goalAtMs'>): number {
		const {clock, random, endpointPools, load, options, metrics} = this._services;
		const [endpoint] = group.endpoints();
		if (goalAtMs === undefined || !load?.isReturnScheduled() || !endpoint || !isPromotionExpected(group)) {
			return options.retryAfterMs;
		}

		const afterMs = this._forecast(group).returnAfterMs({
			nowMs: clock.nowMs(),
			timeLeftMs: deadlineMs - clock.nowMs(),
			spacingMs: endpointPools.pool(endpoint, organisation).answerTimes.averageMs / endpoint.slots,
			nodes: load.nodes(),
			random: random.next(),
		});
		if (afterMs === undefined) {
			return options.retryAfterMs;
		}

		metrics.observe('returnAfterMs', afterMs, {cause: 'promotion'});
		return afterMs;
	}

	private _forecast({service, options}: PrimaryTracker): PromotionForecast {
		const known = this._forecasts.get(service);
		if (known) {
			return known;
		}

		const forecast = new PromotionForecast(options.promotionTimeoutMs, this._services.load!.options);
		this._forecasts.set(service, forecast);
		return forecast;
	}
}

/** Whether a group lacks a primary because one is to be promoted, not only because this node lacks a proof. */
function isPromotionExpected(group: PrimaryTracker): boolean {
	return group.promotionReason !== undefined || group.primary === undefined || group.isPossiblyReplaced;
}
