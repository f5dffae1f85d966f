/**
 * Findings of a run.
 */
import type {InvariantName} from '../src/common/services/services.js';

/** Promises that are checked from outside the nodes. */
export type OutsidePromise
	// Observed by callers.
	= | 'lost' | 'doubled' | 'ranAfterNotRun' | 'stale' | 'ackedAtOldPrimary' | 'wentBack' | 'tooOld' | 'mixed' | 'foreignAnswer' | 'invented' | 'unanswered'
	// Observed at endpoints.
		| 'foreignConnection' | 'keyOutlived' | 'keyUnknown' | 'usageExceeded' | 'leavingServed' | 'slotsExceeded' | 'connectionsExceeded' | 'leftOpen' | 'pinned' | 'unasked'
	// Observed at nodes.
		| 'drainCut' | 'configurationLate' | 'configurationAltered' | 'configurationWentBack'
	// Observed in the whole system.
		| 'falsePromotion' | 'notRecovered';

/** One broken promise, or an invariant that a node itself found broken. */
export type Finding = {
	readonly promise: OutsidePromise | InvariantName;
	readonly detail: string;
};
