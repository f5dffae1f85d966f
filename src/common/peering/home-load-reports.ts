/**
 * The load reports that a home gives to the nodes whose statements it runs, and what it knows of the
 * progress of the replicas that it serves.
 */
import type {LoadReport} from '../load/load-report.js';
import type {PrimaryTimes} from '../load/replication-lag.js';
import {isProbablyMissing, ReplicationLag} from '../load/replication-lag.js';
import type {EndpointPool} from '../pools/endpoint-pool.js';
import type {LogPosition} from '../positions/log-position.js';
import {hasReached} from '../positions/log-position.js';
import type {Clock, RegisteredEndpoint} from '../services/services.js';

/** What a home needs to know of a group to date the positions of its replicas. */
export type GroupProgress = {
	/** When the primary was at the positions around one that a replica has applied. */
	timesAround(position: LogPosition): PrimaryTimes;
	/** For how long the primary is known to have reached a position; undefined without a sample of the primary. */
	reachedForMs(position: LogPosition): number | undefined;
};

type ReportServices = {
	readonly clock: Clock;
	/** Whether reports are given at present. */
	readonly isEnabled: () => boolean;
	readonly group: (service: string) => GroupProgress;
	/** Age in milliseconds up to which the last position of a replica supports an estimate of its lag. */
	readonly lagKeptMs: number;
};

type ReplicaKnowledge = {
	readonly incarnation: number;
	readonly lag: ReplicationLag;
	applied: LogPosition;
};

/** Creates the load reports of a home. */
export class HomeLoadReports {
	private readonly _services: ReportServices;
	private readonly _replicas = new Map<string, ReplicaKnowledge>();

	constructor(services: ReportServices) {
		this._services = services;
	}

	/** The report on an endpoint; undefined while reports are off. */
	report(endpoint: RegisteredEndpoint, pool: EndpointPool): LoadReport | undefined {
		const {isEnabled} = this._services;
		return isEnabled() ? {...pool.reportLoad(), applied: this._known(endpoint)?.applied, lagMs: this._lagMs(endpoint)} : undefined;
	}

	/** Records the position that an answer of an endpoint carried. */
	noteApplied(endpoint: RegisteredEndpoint, position: LogPosition | undefined): void {
		const {clock, isEnabled, group} = this._services;
		if (!position || !isEnabled()) {
			return;
		}

		const known = this._known(endpoint) ?? {incarnation: endpoint.incarnation, lag: new ReplicationLag(), applied: position};
		// The newest answer counts, even if it shows an earlier position: the endpoint may have restarted.
		known.applied = position;
		this._replicas.set(endpoint.id, known);
		known.lag.note(group(endpoint.service).timesAround(position), clock.nowMs());
	}

	/**
	 * Whether a replica probably lacks a position: its last known position is earlier, and the primary
	 * reached the wanted one too recently for a replica of its lag.
	 */
	isBehind(endpoint: RegisteredEndpoint, floor: LogPosition): boolean {
		const {isEnabled, group} = this._services;
		const known = this._known(endpoint);
		const lagMs = this._lagMs(endpoint);
		if (!isEnabled() || !known || lagMs === undefined || hasReached(known.applied, floor)) {
			return false;
		}

		const reachedForMs = group(endpoint.service).reachedForMs(floor);
		return reachedForMs !== undefined && isProbablyMissing(lagMs, reachedForMs);
	}

	private _lagMs(endpoint: RegisteredEndpoint): number | undefined {
		return this._known(endpoint)?.lag.lagMs(this._services.clock.nowMs(), this._services.lagKeptMs);
	}

	private _known({id, incarnation}: RegisteredEndpoint): ReplicaKnowledge | undefined {
		const known = this._replicas.get(id);
		return known?.incarnation === incarnation ? known : undefined;
	}
}
