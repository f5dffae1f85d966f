/**
 * What an availability zone may give out of an organisation's limit.
 *
 * Zones share a limit in equal parts and never ask each other, so that a zone that is cut off goes
 * on with its part, and no two zones together run more than the rule allows.
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

/** Least operations that a zone's budget holds: with less than one nothing could ever run. */
const minimumCapacity = 1;

/** The budget of one zone among several. */
export function zoneBudget({perS, burst}: UsageLimit, {windowS, overshootShare, slack}: UsageRule, zones: number, toleranceShare: number): BudgetSize {
	const tolerated = (((perS * windowS) + burst) * overshootShare) + slack;
	return {
		perS: perS / zones,
		capacity: Math.max(minimumCapacity, (burst + (tolerated * toleranceShare)) / zones),
	};
}
