/**
 * Expected end of the promotion of one group, and return times of the callers that wait for it.
 *
 * Addresses the load after a promotion: callers that are refused for lack of a primary return several
 * times before there is one, and all at once afterwards. The duration is learned from earlier
 * promotions. Return times follow one another at the rate at which the endpoint serves statements,
 * divided among the nodes, since each node refuses callers without knowing of the others.
 */
import type {LoadOptions} from './constants.js';

/** A refusal for lack of a primary. */
export type WaitingCaller = {
	readonly nowMs: number;
	readonly timeLeftMs: number;
	/** Time in which the endpoint serves one statement. */
	readonly spacingMs: number;
	/** Number of nodes that give out return times. */
	readonly nodes: number;
	/** A random number from zero to below one. */
	readonly random: number;
};

type Vacancy = {
	readonly sinceMs: number;
	lastRefusalMs: number;
	places: number;
};

/** Learns how long a group is without a primary. */
export class PromotionForecast {
	private readonly _options: Pick<LoadOptions, 'vacancyWeight' | 'vacancyGapMs'>;
	private readonly _boundMs: number;
	private _expectedMs: number;
	private _vacancy: Vacancy | undefined;

	/** `boundMs` is the longest duration of a promotion, which is expected until one has been seen, and limits what is learned. */
	constructor(boundMs: number, options: Pick<LoadOptions, 'vacancyWeight' | 'vacancyGapMs'>) {
		this._options = options;
		this._boundMs = boundMs;
		this._expectedMs = boundMs;
	}

	/** Records that the group has a primary. What is learned from vacancies whose end was not seen would be too long, so these are ignored. */
	noteFound(nowMs: number): void {
		if (!this._vacancy) {
			return;
		}

		const {sinceMs, lastRefusalMs} = this._vacancy;
		this._vacancy = undefined;
		if (nowMs - lastRefusalMs > this._options.vacancyGapMs) {
			return;
		}

		const tookMs = Math.min(this._boundMs, nowMs - sinceMs);
		const isFirst = this._expectedMs === this._boundMs;
		this._expectedMs = isFirst ? tookMs : (this._expectedMs * (1 - this._options.vacancyWeight)) + (tookMs * this._options.vacancyWeight);
	}

	/**
	 * Time in milliseconds after which a refused caller is to return; undefined if the promotion is not
	 * expected to end before the caller's deadline, or has lasted longer than expected.
	 */
	returnAfterMs({nowMs, timeLeftMs, spacingMs, nodes, random}: WaitingCaller): number | undefined {
		if (this._vacancy && nowMs - this._vacancy.lastRefusalMs > this._boundMs) {
			this._vacancy = undefined;
		}

		this._vacancy ??= {sinceMs: nowMs, lastRefusalMs: nowMs, places: 0};
		const vacancy = this._vacancy;
		vacancy.lastRefusalMs = nowMs;
		const endMs = vacancy.sinceMs + this._expectedMs;
		const afterMs = endMs - nowMs + ((vacancy.places + random) * spacingMs * nodes);
		if (endMs <= nowMs || afterMs > timeLeftMs) {
			return undefined;
		}

		vacancy.places += 1;
		return afterMs;
	}
}
