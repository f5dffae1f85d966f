/**
 * Ranks the replicas that a read may be sent to.
 *
 * A replica that is known to include the required position ranks before one that is not.
 * Among those that include it, the one with fewer requests in progress ranks first, where a
 * replica outside the caller's availability zone counts as having a few more.
 */
import {hasReached} from '../positions/log-position.js';
import type {LogPosition} from '../positions/log-position.js';
import type {Configuration, EndpointDefinition, Random} from '../services/services.js';
import type {GroupViewCache} from './group-view-cache.js';

/** Why a replica was chosen; a label of the routing metric. */
export type ReplicaReason = 'replica' | 'replicaMayCatchUp';

/** Why the primary was chosen: for a write, by the caller's policy, since no replica is eligible, or since the replicas that were tried lag. */
export type PrimaryReason = 'primary' | 'primaryByRule' | 'primaryNoReplica' | 'primaryBehind';

/** What a read requires of its endpoint. */
export type ReadRequirements = {
	readonly group: string;
	readonly availabilityZone: string;
	readonly minimumPosition: LogPosition;
	/** Endpoints that refused this request already. */
	readonly refusedBy: ReadonlySet<string>;
	readonly nowMs: number;
};

/** An eligible replica, and the reason that is reported if it is chosen. */
export type RankedReplica = {
	readonly endpoint: EndpointDefinition;
	readonly reason: ReplicaReason;
};

type ReplicaCandidate = {
	readonly endpoint: EndpointDefinition;
	readonly hasPosition: boolean;
	readonly isLocal: boolean;
	readonly applied: LogPosition;
	readonly inProgress: number;
	/** Random number that distributes reads over candidates of equal cost. */
	readonly tieBreak: number;
};

/** Returns the replicas that are eligible for a read, best first. */
export function rankReplicas(
	services: {readonly configuration: Configuration; readonly views: GroupViewCache; readonly random: Random},
	requirements: ReadRequirements,
): RankedReplica[] {
	const {configuration, views, random} = services;
	const endpoints = configuration.group(requirements.group)?.endpoints ?? [];
	const {primary} = views.group(requirements.group);
	const candidates: ReplicaCandidate[] = [];
	for (const endpoint of endpoints) {
		if (endpoint.name === primary || requirements.refusedBy.has(endpoint.name)) {
			continue;
		}

		const policy = configuration.endpointPolicy(endpoint.name);
		const view = views.endpoint(requirements.group, endpoint.name);
		const isEligible = policy.acceptsReads && !policy.isDraining && view.avoidedUntilMs <= requirements.nowMs;
		if (!isEligible) {
			continue;
		}

		candidates.push({
			endpoint,
			hasPosition: hasReached(view.applied, requirements.minimumPosition),
			isLocal: endpoint.availabilityZone === requirements.availabilityZone,
			applied: view.applied,
			inProgress: view.inProgress,
			tieBreak: random.next(),
		});
	}

	candidates.sort(compareCandidates);
	return candidates.map(({endpoint, hasPosition}) => ({
		endpoint,
		reason: hasPosition ? 'replica' : 'replicaMayCatchUp',
	}));
}

function compareCandidates(a: ReplicaCandidate, b: ReplicaCandidate): number {
	if (a.hasPosition !== b.hasPosition) {
		return a.hasPosition ? -1 : 1;
	}

	if (!a.hasPosition) {
		// Neither is known to include the position; the one with the later position is more likely to.
		return (b.applied.term - a.applied.term) || (b.applied.offset - a.applied.offset);
	}

	// A local endpoint saves a network hop between zones, which is worth a few queued requests.
	const costA = a.inProgress + (a.isLocal ? 0 : remoteZoneCost);
	const costB = b.inProgress + (b.isLocal ? 0 : remoteZoneCost);
	return costA - costB || a.tieBreak - b.tieBreak;
}

/** Number of requests in progress that cost as much as a network hop between zones. */
const remoteZoneCost = 3;
