/**
 * Divides an organisation's usage limit among the availability zones.
 *
 * Each zone has an equal part of the limit, which it may use without the others. A partitioned zone
 * therefore goes on with its part, and all zones together never run more than the rule allows.
 */
import type {UsageLimit} from '../services/services.js';
import type {BudgetSize} from './usage-budget.js';

/** How usage is counted: in any window at most (rate x window + burst) x (1 + overshoot) + slack. */
export type UsageRule = {
	readonly windowS: number;
	readonly overshootShare: number;
	/** In operations. */
	readonly slack: number;
};

/** Minimum capacity of a zone's budget, in operations: with less than one, nothing could ever run. */
const minimumCapacity = 1;

/** Rate and capacity of the budget of one zone, for a number of zones that share the limit. */
export function zoneBudget({perS, burst}: UsageLimit, {windowS, overshootShare, slack}: UsageRule, zones: number, toleranceShare: number): BudgetSize {
	const tolerated = (((perS * windowS) + burst) * overshootShare) + slack;
	return {
		perS: perS / zones,
		capacity: Math.max(minimumCapacity, (burst + (tolerated * toleranceShare)) / zones),
	};
}
