/**
 * What a run can find broken.
 */
import type {InvariantName} from '../src/common/services/services.js';

/** Promises as they are seen from outside of the nodes. */
export type OutsidePromise
	// Seen by callers.
	= | 'lost' | 'doubled' | 'ranAfterNotRun' | 'stale' | 'ackedAtOldPrimary' | 'wentBack' | 'tooOld' | 'mixed' | 'foreignAnswer' | 'invented' | 'unanswered'
	// Seen at endpoints.
		| 'foreignConnection' | 'keyOutlived' | 'keyUnknown' | 'usageExceeded' | 'leavingServed' | 'slotsExceeded' | 'connectionsExceeded' | 'leftOpen'
	// Seen at nodes.
		| 'drainCut' | 'configurationLate' | 'configurationAltered' | 'configurationWentBack'
	// Seen in the whole system.
		| 'falsePromotion' | 'notRecovered';

/** One broken promise, or an invariant that the program itself found broken. */
export type Finding = {
	readonly promise: OutsidePromise | InvariantName;
	readonly detail: string;
};
