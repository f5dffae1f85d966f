/**
 * Decides which reports of replicas prove that a term has not been replaced.
 *
 * A promoter fences every registered replica. One whose registration has lapsed may be alive behind a
 * network partition, where the promoter cannot fence it and goes on without it, and would prove the old
 * term to the nodes beside it without end. Therefore:
 *
 * - A single replica's report proves its term only while the replica's registration is known to have stood
 *   within `registrationTrustMs`. Before an order, a promoter waits until all leases that began so have
 *   expired (see `Promoter`). A replica that is draining proves nothing by itself, so that a promoter need
 *   not wait for one that has left.
 * - If the registrations are older, as while the store is unavailable, the reports of all known replicas
 *   together prove the term: the endpoint that is to be promoted is one of them, and it was fenced.
 */
import type {EndpointRegistry} from '../catalog/endpoint-registry.js';
import type {Log, RegisteredEndpoint} from '../services/services.js';
import type {PrimacyOptions} from './constants.js';
import type {EndpointReports} from './endpoint-reports.js';

/** State of the group that the decision needs. */
type ProvedGroup = {
	readonly service: string;
	replicas(): readonly RegisteredEndpoint[];
};

type ProofServices = {
	readonly registry: Pick<EndpointRegistry, 'ageMs' | 'wasServingWithin'>;
	readonly options: Pick<PrimacyOptions, 'registrationTrustMs'>;
	readonly log: Log;
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

	/** Whether the registrations are too old for a single replica to prove a term. */
	get areAllNeeded(): boolean {
		return this._areAllNeeded;
	}

	/** Returns when the earliest request was sent whose response is part of the proof that a replica's last report completes; undefined if it proves nothing. */
	provedAtMs(endpointId: string, term: number): number | undefined {
		const {registry, options} = this._services;
		const reportedAtMs = this._followedAtMs(endpointId, term);
		if (reportedAtMs === undefined) {
			return undefined;
		}

		const isEnough = registry.wasServingWithin(endpointId, options.registrationTrustMs);
		this._noteWhetherAllAreNeeded(!isEnough && registry.ageMs >= options.registrationTrustMs);
		return isEnough ? reportedAtMs : this._allFollowedAtMs(term);
	}

	/** When every known replica had followed the term at least; undefined if one has not. */
	private _allFollowedAtMs(term: number): number | undefined {
		const times = this._group.replicas().map(({id}) => this._followedAtMs(id, term));
		return times.length > 0 && times.every(time => time !== undefined) ? Math.min(...times) : undefined;
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
			const {log, registry} = this._services;
			log.event('replicaProofsChanged', {group: this._group.service, areAllNeeded, registrationsAgeMs: Math.round(registry.ageMs)});
		}
	}
}
