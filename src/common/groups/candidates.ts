/**
 * The order of instances as candidates for primary, and of monitors as promoters.
 */
import {comparePositions} from '../positions/log-position.js';
import type {EndpointAddress, InstanceState} from '../services/services.js';
import type {GroupServices, PromotionPlan} from './types.js';

/** An instance with the state that it is judged by. */
export type Candidate = {
	readonly endpoint: EndpointAddress;
	readonly state: InstanceState;
};

type CandidateServices = Pick<GroupServices, 'configuration' | 'membership'>;

/** What decides between candidates whose logs are equal. */
export type CandidatePreferences = {
	readonly wanted: PromotionPlan['wanted'];
	/** Zone of the primary before. */
	readonly availabilityZone: string | undefined;
};

/** Orders candidates: the most advanced log first; among equals the wishes, and then the name. */
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
 * Place of this node among the monitors that may promote: the home of the best candidate
 * comes first, and one that serves no candidate last.
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
