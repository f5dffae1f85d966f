/**
 * Selects the endpoint for a statement. A read goes to the endpoint with the lowest expected duration
 * among those that are fresh enough and have not turned it away.
 */
import {isProbablyMissing} from '../load/replication-lag.js';
import type {PlacementCandidate} from '../load/placement-choice.js';
import {choosePlacement} from '../load/placement-choice.js';
import type {StatementPool} from '../pools/types.js';
import type {PrimaryTracker} from '../primacy/primary-tracker.js';
import type {LogPosition} from '../positions/log-position.js';
import {hasReached, laterPosition} from '../positions/log-position.js';
import {hashText, highestWeight} from '../membership/rendezvous.js';
import type {RegisteredEndpoint, Route} from '../services/services.js';
import type {LineSessionServices} from './types.js';

/** An endpoint that was selected for a statement, and the pool through which it is reached. */
export type StatementTarget = {
	readonly pool: StatementPool;
	readonly isPrimary: boolean;
	/** Position that the endpoint must have applied for the answer to be fresh enough. */
	readonly floor: LogPosition | undefined;
};

/** What the selection of an endpoint for a read depends on. */
export type ReadRequest = {
	readonly route: Route;
	readonly arrivedAtMs: number;
	/** Position of the session's own last commit in the group. */
	readonly mark: LogPosition | undefined;
	/** Endpoints that turned the statement away. */
	readonly refusedBy: ReadonlySet<string>;
	/** Organisation whose connections the read uses. */
	readonly organisation: string | undefined;
};

type ReplicaProgress = NonNullable<StatementPool['reportedProgress']>;

type ReplicaChoice = {
	readonly endpoint: RegisteredEndpoint;
	readonly pool: StatementPool;
	readonly floor: LogPosition;
};

/** Selects an endpoint for each statement. */
export class StatementTargetSelector {
	private readonly _services: LineSessionServices;

	constructor(services: LineSessionServices) {
		this._services = services;
	}

	/** The primary as a target, through a relay if this node cannot reach it; undefined if no primary is known or it cannot be reached either way. */
	primary(group: PrimaryTracker, organisation: string | undefined): StatementTarget | undefined {
		const endpoint = group.primaryEndpoint;
		if (!endpoint) {
			return undefined;
		}

		const directPool = this._services.endpointPools.pool(endpoint, organisation);
		const isSilent = group.silentForMs >= this._services.options.silentPrimaryMs;
		const isOutOfReach = directPool.isAvoided || directPool.isOutOfConnections || isSilent || group.promotionReason === 'crashed';
		const pool = isOutOfReach ? this._services.relays.primaryPool(group) : directPool;
		return pool && {pool, isPrimary: true, floor: undefined};
	}

	/** The target with the lowest expected duration for a read within its accepted staleness; undefined when no endpoint is known to be fresh enough. */
	read(group: PrimaryTracker, request: ReadRequest): StatementTarget | undefined {
		const {route, refusedBy, mark, arrivedAtMs, organisation} = request;
		const proved = group.floor(arrivedAtMs, route.maximumAgeMs);
		const targets: StatementTarget[] = [];
		if (proved) {
			const floor = mark ? laterPosition(proved, mark) : proved;
			for (const endpoint of group.replicas()) {
				const pool = this._services.endpointPools.pool(endpoint, organisation);
				if (!refusedBy.has(endpoint.id) && this._isEligible(group, {endpoint, pool, floor})) {
					targets.push({pool, isPrimary: false, floor});
				}
			}
		}

		const trial = this._admit(targets, route.priority);
		if (trial) {
			return trial;
		}

		const primary = this.primary(group, organisation);
		if (primary && !refusedBy.has(primary.pool.endpoint.id) && (proved !== undefined || group.isLeased)) {
			targets.push(primary);
		}

		return this._fastest(targets, request);
	}

	/** Draining is checked on the endpoint and not on the pool: a pool keeps the registration with which it was created, which may be older. */
	private _isEligible(group: PrimaryTracker, {endpoint, pool, floor}: ReplicaChoice): boolean {
		const {isAvoided, isOutOfConnections} = pool;
		if (endpoint.isDraining || isAvoided || isOutOfConnections) {
			return false;
		}

		const applied = group.applied(endpoint.id);
		const isProbablyBehind = pool.reportedProgress && this._isProbablyBehind(group, pool.reportedProgress, floor);
		if (isProbablyBehind !== undefined && !(applied && hasReached(applied.position, floor))) {
			if (isProbablyBehind) {
				this._services.metrics.count('replicasPassedOverTotal', {reason: 'behind'});
			}

			return !isProbablyBehind;
		}

		return applied === undefined || hasReached(applied.position, floor)
			|| this._services.clock.nowMs() - applied.atMs > this._services.options.positionOldMs;
	}

	/**
	 * Whether a replica probably lacks a position, by the position and the lag that its home reported;
	 * undefined if they don't tell.
	 */
	private _isProbablyBehind(group: PrimaryTracker, {applied, lagMs}: ReplicaProgress, floor: LogPosition): boolean | undefined {
		if (applied && hasReached(applied, floor)) {
			return false;
		}

		const reachedForMs = group.reachedForMs(floor);
		return lagMs === undefined || reachedForMs === undefined ? undefined : isProbablyMissing(lagMs, reachedForMs);
	}

	/**
	 * Removes replicas that are ejected as outliers from the targets; if all are, the one with the lowest
	 * expected time stays. Returns one that is due for its trial statement, which goes there whatever its
	 * expected time.
	 */
	private _admit(replicas: StatementTarget[], priority: number): StatementTarget | undefined {
		const isAdmitted = ({pool}: StatementTarget): boolean => (pool.standing ?? 'admitted') === 'admitted';
		if (replicas.every(target => isAdmitted(target))) {
			return undefined;
		}

		const admitted = replicas.filter(target => isAdmitted(target));
		const trial = replicas.find(({pool}) => pool.standing === 'trial');
		const kept = admitted.length > 0 ? admitted : [this._leastExpected(replicas, priority)];
		for (const target of replicas.filter(replica => replica !== trial && !kept.includes(replica))) {
			target.pool.notePassedOver?.();
			this._services.metrics.count('replicasPassedOverTotal', {reason: 'ejected'});
		}

		replicas.splice(0, replicas.length, ...kept);
		trial?.pool.beginTrial?.();
		return trial;
	}

	private _leastExpected(targets: readonly StatementTarget[], priority: number): StatementTarget {
		let best = targets[0];
		for (const target of targets) {
			best = target.pool.estimateMs('read', priority) < best.pool.estimateMs('read', priority) ? target : best;
		}

		return best;
	}

	private _fastest(targets: readonly StatementTarget[], {route, organisation}: ReadRequest): StatementTarget | undefined {
		const preferred = preferredReplica(targets, organisation);
		if (this._services.placesByLoad()) {
			const candidates = targets.map((target): PlacementCandidate<StatementTarget> => ({value: target, costMs: this._expectedMs(target, route.priority)}));
			return choosePlacement(candidates, () => this._services.random.next(), preferred && {value: preferred, leavingCostMs: this._services.options.otherReplicaMs});
		}

		let best: StatementTarget | undefined;
		let bestMs = Number.POSITIVE_INFINITY;
		for (const target of targets) {
			const otherReplicaCostMs = preferred === undefined || target === preferred ? 0 : this._services.options.otherReplicaMs;
			const costMs = this._expectedMs(target, route.priority) + otherReplicaCostMs;
			if (costMs < bestMs) {
				best = target;
				bestMs = costMs;
			}
		}

		return best;
	}

	private _expectedMs({pool, isPrimary}: StatementTarget, priority: number): number {
		const {availabilityZone, options, random} = this._services;
		const otherZoneCostMs = pool.endpoint.availabilityZone === availabilityZone ? 0 : options.otherZoneMs;
		const primaryCostMs = isPrimary ? options.primaryReadMs : 0;
		// Jitter keeps nodes that measure the same times from all choosing the same endpoint at once.
		return (pool.estimateMs('read', priority) * (0.9 + (random.next() / 5))) + otherZoneCostMs + primaryCostMs;
	}
}

/**
 * The replica to which all nodes prefer to send an organisation's reads. Each connection belongs to
 * one organisation, and an endpoint accepts fewer connections than there are organisations, so reads
 * that were spread over all replicas would keep opening and closing connections.
 */
function preferredReplica(targets: readonly StatementTarget[], organisation: string | undefined): StatementTarget | undefined {
	if (organisation === undefined) {
		return undefined;
	}

	const replicas = targets.filter(({isPrimary}) => !isPrimary);
	return highestWeight(replicas.map(target => ({name: target.pool.endpoint.id, hash: hashText(target.pool.endpoint.id), value: target})), organisation);
}
