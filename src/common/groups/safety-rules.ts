/**
 * The decisions that safety rests on, in one place: tests take them away one by one to show
 * that their checks would notice.
 */
import type {InstanceState} from '../services/services.js';
import {rankCandidates} from './candidates.js';
import {heldOffset, majorityOf} from './quorum.js';

/** The decisions. */
export type SafetyRules = {
	/** Instances that must promise a term before one of them leads it. */
	readonly promotionQuorum: (size: number) => number;
	/** Instances, the primary among them, that must answer before a proof stands. */
	readonly proofQuorum: (size: number) => number;
	/** Up to where an instance counts as holding a term's log. */
	readonly heldOffset: (state: InstanceState, term: number) => number | undefined;
	/** Orders candidates; the first is promoted. */
	readonly rank: typeof rankCandidates;
};

/** The rules in force outside of tests. */
export const safetyRules: SafetyRules = {
	promotionQuorum: majorityOf,
	proofQuorum: majorityOf,
	heldOffset,
	rank: rankCandidates,
};
