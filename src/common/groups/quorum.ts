/**
 * Quorum arithmetic over the instances of a group.
 */
import type {LogPosition} from '../positions/log-position.js';
import type {InstanceState} from '../services/services.js';

/** Smallest number of instances that is a majority of a group of `size`. */
export function majorityOf(size: number): number {
	return Math.floor(size / 2) + 1;
}

/**
 * Whether an instance leads the term that it promised. A primary that promised a higher
 * term than the one in which its log ends has been fenced and leads no term.
 */
export function isLeading(state: InstanceState): boolean {
	return state.role === 'primary' && state.received.term === state.promisedTerm;
}

/** The largest value that at least `count` of the values reach; `lowest` when there are fewer values than that. */
export function largestValueReachedBy(values: readonly number[], count: number, lowest = 0): number {
	if (values.length < count) {
		return lowest;
	}

	return values.toSorted((a, b) => b - a)[count - 1];
}

/** Offset up to which an instance that still follows a term holds its log; undefined if the instance does not follow it. */
export function heldOffset(state: InstanceState, term: number): number | undefined {
	const isInTerm = state.promisedTerm === term && state.received.term === term;
	return isInTerm && state.role !== 'rebuilding' ? state.received.offset : undefined;
}

/** Number of entries by which one log lags behind another; infinite when it ends in a lower term. */
export function lagEntries(position: LogPosition, target: LogPosition): number {
	return position.term < target.term ? Number.POSITIVE_INFINITY : target.offset - position.offset;
}
