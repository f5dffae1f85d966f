/**
 * Decides which reports of replicas prove that a term has not been replaced.
 *
 * A promoter fences every registered replica. One whose registration has lapsed may be alive behind a
 * network partition, where the promoter cannot fence it and goes on without it, and would prove the old
 * term to the nodes beside it without end. Therefore:
 *
 * - A single replica's report proves its term only if the lease that begins with it ends before the
 *   replica's registration can lapse: a registration lapses a known time after it was last written.
 * - Otherwise, as while the store is unavailable, or where it does not show every report, the reports of
 *   all known replicas together prove the term: the endpoint that is to be promoted is one of them, and it
 *   was fenced.
 *
 * A replica may register, or return, after a node has last read the registrations, and is not counted by
 * that node. A promoter therefore waits until an endpoint has been registered for `registrationsTrustMs`,
 * unless it has notified every node. Until then a node relies on its registrations alone, and after that only
 * while every node that may promote responds that it does not replace the primary.
 */
import type {EndpointRegistry} from '../catalog/endpoint-registry.js';
import type {RegisteredEndpoint} from '../services/services.js';
import type {PrimacyOptions} from './constants.js';
import type {EndpointReports} from './endpoint-reports.js';
import type {GroupServices, PrimacyPeers} from './types.js';

/** State of the group that the decision needs. */
type ProvedGroup = {
	readonly service: string;
	replicas(): readonly RegisteredEndpoint[];
};

type ProofServices = Pick<GroupServices, 'log' | 'registrationLifetimeMs'> & {
	readonly peers: Pick<PrimacyPeers, 'unreplacedAtMs'>;
	readonly registry: Pick<EndpointRegistry, 'hasReportedWithin' | 'provedAgoMs'>;
	readonly options: Pick<PrimacyOptions, 'leaseMs' | 'registrationsTrustMs'>;
};

/** Dates the proofs that replicas' reports give. */
export class ReplicaProofs {
	private readonly _group: ProvedGroup;
	private readonly _reports: EndpointReports;
	private readonly _services: ProofServices;
	private _areAllNeeded = false;

	constructor(group: ProvedGroup, reports: EndpointReports, services: ProofServices) {
		this._group = group;
		this._reports = reports;
		this._services = services;
	}

	/** Whether the last proof took the reports of all known replicas. */
	get areAllNeeded(): boolean {
		return this._areAllNeeded;
	}

	/** Whether the known registrations are too old to be relied on unless no node that may promote does so. */
	get areRegistrationsOld(): boolean {
		const {registry, options} = this._services;
		return registry.provedAgoMs >= options.registrationsTrustMs - options.leaseMs;
	}

	/** Returns when the earliest request was sent whose response is part of the proof that a replica's last report completes; undefined if it proves nothing. */
	provedAtMs(endpointId: string, term: number): number | undefined {
		const reportedAtMs = this._followedAtMs(endpointId, term);
		if (reportedAtMs === undefined) {
			return undefined;
		}

		const isEnough = this._outlivesLease(endpointId);
		const provedAtMs = isEnough ? reportedAtMs : this._allFollowedAtMs(term);
		if (provedAtMs !== undefined) {
			this._noteWhetherAllAreNeeded(!isEnough);
		}

		return provedAtMs;
	}

	/** Whether a replica's registration cannot lapse before a lease that begins now ends. */
	private _outlivesLease(endpointId: string): boolean {
		const {registry, options, registrationLifetimeMs} = this._services;
		return registrationLifetimeMs !== undefined && registry.hasReportedWithin(endpointId, registrationLifetimeMs - options.leaseMs);
	}

	/** When every known replica had followed the term at least; undefined if one has not. */
	private _allFollowedAtMs(term: number): number | undefined {
		const times = this._group.replicas().map(({id}) => this._followedAtMs(id, term));
		if (times.length === 0 || times.includes(undefined)) {
			return undefined;
		}

		const followedAtMs = Math.min(...times.map(Number));
		if (!this.areRegistrationsOld) {
			return followedAtMs;
		}

		const unreplacedAtMs = this._services.peers.unreplacedAtMs(this._group.service, term);
		return unreplacedAtMs === undefined ? undefined : Math.min(followedAtMs, unreplacedAtMs);
	}

	/** When the request was sent to which a replica responded that it follows the term and is not fenced; undefined if it did not. */
	private _followedAtMs(endpointId: string, term: number): number | undefined {
		const report = this._reports.status(endpointId);
		const isFollowing = report !== undefined && !report.status.isPrimary && report.status.term === term && report.status.fencedForTerm === 0;
		return isFollowing && this._reports.mayProve(endpointId) ? report.sentAtMs : undefined;
	}

	private _noteWhetherAllAreNeeded(areAllNeeded: boolean): void {
		if (areAllNeeded !== this._areAllNeeded) {
			this._areAllNeeded = areAllNeeded;
			this._services.log.event('replicaProofsChanged', {
				group: this._group.service, areAllNeeded, replicas: this._group.replicas().map(({id}) => id), registrationsAgeMs: Math.round(this._services.registry.provedAgoMs),
			});
		}
	}
}
