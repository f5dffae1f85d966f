/**
 * Chooses the endpoint of a read.
 *
 * An endpoint that is believed to include the wanted position goes before one that is
 * not, one in the caller's zone before others, and a less busy one before a busier one.
 */
import {hasReached} from '../positions/log-position.js';
import type {LogPosition} from '../positions/log-position.js';
import type {Configuration, EndpointDefinition, Random} from '../services/services.js';
import type {GroupViewCache} from './group-view-cache.js';

/** Why a replica was chosen; a label of the routing metric. */
export type ReplicaReason = 'replica' | 'replicaMayCatchUp';

/** Why the primary was chosen: for a write, by a rule, since no replica is open, or since those that are lag. */
export type PrimaryReason = 'primary' | 'primaryByRule' | 'primaryNoReplica' | 'primaryBehind';

/** What a read asks of its endpoint. */
export type ReadRequirements = {
	readonly group: string;
	readonly availabilityZone: string;
	readonly minimumPosition: LogPosition;
	/** Endpoints that refused this request already. */
	readonly refusedBy: ReadonlySet<string>;
	readonly nowMs: number;
};

/** A chosen endpoint and the reason. */
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
	/** Spreads equal candidates. */
	readonly tieBreak: number;
};

/** The replicas that may take a read, best first. */
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
		// Neither is known to have the position: the one further on is likelier to.
		return (b.applied.term - a.applied.term) || (b.applied.offset - a.applied.offset);
	}

	// A local endpoint saves a crossing between zones, worth a few queued requests.
	const costA = a.inProgress + (a.isLocal ? 0 : remoteZoneCost);
	const costB = b.inProgress + (b.isLocal ? 0 : remoteZoneCost);
	return costA - costB || a.tieBreak - b.tieBreak;
}

/** How many requests in progress outweigh a crossing between zones. */
const remoteZoneCost = 3;
