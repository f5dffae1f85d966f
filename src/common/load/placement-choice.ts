/**
 * Choice among candidates by their expected completion times. Addresses nodes that know the same
 * reports at the same time: if each took the fastest candidate, all would move to it at once.
 */

/** A candidate and its expected time. */
export type PlacementCandidate<T> = {
	readonly value: T;
	/** Expected time in milliseconds, including the costs of reaching the candidate. */
	readonly costMs: number;
};

/** Candidates whose times differ by less than this share are alike: estimates are no more accurate. */
const alikeShare = 0.25;

/** Times that differ by less than this many milliseconds are alike; about the time between two nodes of different zones. */
const alikeMs = 2;

/**
 * Chooses a candidate; undefined if there is none. The preferred one, if any, is chosen unless another
 * is faster by more than `leavingCostMs`. Among those that are alike, two random ones are compared, and
 * each is chosen in inverse proportion to its time.
 */
export function choosePlacement<T>(
	candidates: ReadonlyArray<PlacementCandidate<T>>,
	random: () => number,
	preferred?: {readonly value: T; readonly leavingCostMs: number},
): T | undefined {
	if (candidates.length <= 1) {
		return candidates.at(0)?.value;
	}

	const bestMs = Math.min(...candidates.map(({costMs}) => costMs));
	const preferredCandidate = preferred && candidates.find(({value}) => value === preferred.value);
	if (preferredCandidate && preferredCandidate.costMs <= bestMs + preferred.leavingCostMs) {
		return preferredCandidate.value;
	}

	const alike = candidates.filter(({costMs}) => costMs <= bestMs + Math.max(alikeMs, bestMs * alikeShare));
	const [first] = alike;
	if (alike.length === 1) {
		return first.value;
	}

	const firstIndex = Math.floor(random() * alike.length);
	const otherIndex = (firstIndex + 1 + Math.floor(random() * (alike.length - 1))) % alike.length;
	const one = alike[firstIndex];
	const other = alike[otherIndex];
	const totalMs = one.costMs + other.costMs;
	return random() * totalMs < other.costMs ? one.value : other.value;
}
