/**
 * The decisions on which safety depends, in one place, so that tests can replace each of
 * them with an unsafe variant and show that their checks detect it.
 */
import type {InstanceState} from '../services/services.js';
import {rankCandidates} from './candidates.js';
import {heldOffset, majorityOf} from './quorum.js';

/** The decisions on which safety depends. */
export type SafetyRules = {
	/** Number of instances that must promise a term before one of them may lead it. */
	readonly promotionQuorum: (size: number) => number;
	/** Number of instances, the primary among them, that must confirm a term before a proof is valid. */
	readonly proofQuorum: (size: number) => number;
	/** Offset up to which an instance counts as holding a term's log. */
	readonly heldOffset: (state: InstanceState, term: number) => number | undefined;
	/** Sorts candidates; the first one is promoted. */
	readonly rank: typeof rankCandidates;
};

/** The rules that are used in production. */
export const safetyRules: SafetyRules = {
	promotionQuorum: majorityOf,
	proofQuorum: majorityOf,
	heldOffset,
	rank: rankCandidates,
};
