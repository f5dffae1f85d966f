/**
 * Decides on arrival whether a statement can be served before its deadline.
 *
 * Addresses sustained load above the capacity of an endpoint: a statement that is admitted although
 * it cannot be served is held until its deadline and takes the time in which its caller could have
 * retried. An arrival that would miss its goal goes behind all statements that meet theirs, so its
 * wait is estimated from the share of the slots that late statements are certain to get.
 */
import type {LoadOptions} from './constants.js';

/** What is known when a statement arrives. */
export type Arrival = {
	readonly nowMs: number;
	/** When its goal ends; its deadline if it has no goal. */
	readonly goalAtMs: number;
	readonly deadlineMs: number;
	/** Expected time from its start to its answer. */
	readonly expectedMs: number;
	/** Work of running statements, of more urgent classes, and of statements of its class that go first because they meet their goals. */
	readonly onTimeAheadMs: number;
	/** Work of the late statements of its class. */
	readonly lateAheadMs: number;
	readonly slots: number;
	/** Share of the slots that more urgent classes use. */
	readonly urgentShare: number;
	/** Share of the slots that every class is certain to get. */
	readonly leastShare: number;
};

/** A decision, and the estimated wait that it is based on. */
export type AdmissionDecision = {
	readonly outcome: 'onTime' | 'late' | 'refused';
	readonly waitMs: number;
};

/** Decides on the admission of statements. */
export class GoalAdmission {
	private readonly _options: Pick<LoadOptions, 'workMargin'>;

	constructor(options: Pick<LoadOptions, 'workMargin'>) {
		this._options = options;
	}

	/** Admits a statement that will probably end before its deadline, and tells whether it meets its goal. */
	decide(arrival: Arrival): AdmissionDecision {
		const {nowMs, goalAtMs, deadlineMs, expectedMs, onTimeAheadMs, lateAheadMs, slots, urgentShare, leastShare} = arrival;
		const perMs = slots * Math.max(leastShare, 1 - urgentShare);
		const onTimeWaitMs = onTimeAheadMs / perMs;
		if (nowMs + onTimeWaitMs + (expectedMs * this._options.workMargin) <= goalAtMs) {
			return {outcome: 'onTime', waitMs: onTimeWaitMs};
		}

		const lateWaitMs = Math.max((onTimeAheadMs + lateAheadMs) / perMs, lateAheadMs / (slots * leastShare));
		// A statement that need not wait is always tried: the expected work is an average.
		const isServed = lateWaitMs === 0 || nowMs + lateWaitMs + expectedMs <= deadlineMs;
		return {outcome: isServed ? 'late' : 'refused', waitMs: lateWaitMs};
	}
}
