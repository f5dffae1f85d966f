/**
 * Counting over the instances of a group.
 */
import type {LogPosition} from '../positions/log-position.js';
import type {InstanceState} from '../services/services.js';

/** Number of instances that make a majority. */
export function majorityOf(size: number): number {
	return Math.floor(size / 2) + 1;
}

/**
 * Whether an instance leads the term that it promised. A primary that promised a higher
 * term than the one its log ends in has been fenced and leads none.
 */
export function isLeading(state: InstanceState): boolean {
	return state.role === 'primary' && state.received.term === state.promisedTerm;
}

/** The largest value that at least `count` of the values reach; `lowest` with too few values. */
export function largestValueReachedBy(values: readonly number[], count: number, lowest = 0): number {
	if (values.length < count) {
		return lowest;
	}

	return values.toSorted((a, b) => b - a)[count - 1];
}

/** Offset of a term's log that an instance still following that term holds; undefined if it does not. */
export function heldOffset(state: InstanceState, term: number): number | undefined {
	const isInTerm = state.promisedTerm === term && state.received.term === term;
	return isInTerm && state.role !== 'rebuilding' ? state.received.offset : undefined;
}

/** Entries that one log lacks behind another; unbounded when it ends in a lower term. */
export function lagEntries(position: LogPosition, target: LogPosition): number {
	return position.term < target.term ? Number.POSITIVE_INFINITY : target.offset - position.offset;
}
