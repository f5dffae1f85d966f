/**
 * Ranks instances as candidates for primary, and monitors as promoters.
 */
import {comparePositions} from '../positions/log-position.js';
import type {EndpointAddress, InstanceState} from '../services/services.js';
import type {GroupServices, PromotionPlan} from './types.js';

/** An instance with the state by which it is ranked. */
export type Candidate = {
	readonly endpoint: EndpointAddress;
	readonly state: InstanceState;
};

type CandidateServices = Pick<GroupServices, 'configuration' | 'membership'>;

/** Preferences that decide between candidates whose logs are equally advanced. */
export type CandidatePreferences = {
	readonly wanted: PromotionPlan['wanted'];
	/** Availability zone of the previous primary. */
	readonly availabilityZone: string | undefined;
};

/** Sorts candidates: the most advanced log first; equal ones by preference, and then by name. */
export function rankCandidates(
	candidates: readonly Candidate[],
	preferences: CandidatePreferences,
	{configuration}: Pick<CandidateServices, 'configuration'>,
): Candidate[] {
	const preference = ({endpoint}: Candidate): readonly number[] => {
		const policy = configuration.endpointPolicy(endpoint.name);
		return [
			Number(endpoint.name === preferences.wanted),
			Number(!policy.isDraining),
			policy.primaryPreference,
			Number(endpoint.availabilityZone === preferences.availabilityZone),
		];
	};

	return candidates.toSorted((a, b) =>
		comparePositions(b.state.received, a.state.received)
		|| compareLexicographically(preference(b), preference(a))
		|| a.endpoint.name.localeCompare(b.endpoint.name, 'en'));
}

/**
 * Rank of this node among the monitors that may promote, from 0: the home of the best
 * candidate comes first, and a node that is the home of no candidate last.
 */
export function promotionRankOfSelf(ranked: readonly Candidate[], {membership}: Pick<CandidateServices, 'membership'>): number {
	const rank = ranked.findIndex(({endpoint}) => membership.homeOf(endpoint)?.name === membership.self.name);
	return rank === -1 ? ranked.length : rank;
}

function compareLexicographically(a: readonly number[], b: readonly number[]): number {
	for (const [index, value] of a.entries()) {
		if (value !== b[index]) {
			return value - b[index];
		}
	}

	return 0;
}
