/**
 * Where a read goes: the endpoint that should answer first, among those that are fresh
 * enough and have not turned it away.
 */
import type {StatementPool} from '../pools/types.js';
import type {GroupPrimacy} from '../primacy/group-primacy.js';
import type {LogPosition} from '../positions/log-position.js';
import {hasReached, laterPosition} from '../positions/log-position.js';
import type {RegisteredEndpoint, Route} from '../services/services.js';
import type {LineSessionServices} from './types.js';

/** An endpoint for a statement. */
export type Place = {
	readonly pool: StatementPool;
	readonly isPrimary: boolean;
	/** Position that the endpoint must have for the answer to be fresh enough. */
	readonly floor: LogPosition | undefined;
};

/** What the place of a read depends on. */
export type ReadRequest = {
	readonly route: Route;
	readonly arrivedAtMs: number;
	/** Position of the session's own last commit in the group. */
	readonly mark: LogPosition | undefined;
	/** Endpoints that turned the statement away. */
	readonly refusedBy: ReadonlySet<string>;
};

/** Chooses places. */
export class Placement {
	private readonly _services: LineSessionServices;

	constructor(services: LineSessionServices) {
		this._services = services;
	}

	/** The primary's place; undefined when there is none that could be reached a moment ago. */
	primary(group: GroupPrimacy): Place | undefined {
		const endpoint = group.primaryEndpoint;
		if (!endpoint) {
			return undefined;
		}

		const own = this._services.ways.pool(endpoint);
		const isSilent = group.silentForMs >= this._services.options.silentPrimaryMs;
		const isOutOfReach = own.isAvoided || own.isShutOut || isSilent || group.loss === 'crashed';
		const pool = isOutOfReach ? this._services.relays.primaryPool(group) : own;
		return pool && {pool, isPrimary: true, floor: undefined};
	}

	/** The best place for a read that accepts data of some age; undefined when none is fresh enough. */
	read(group: GroupPrimacy, request: ReadRequest): Place | undefined {
		const {route, refusedBy, mark, arrivedAtMs} = request;
		const proved = group.floor(arrivedAtMs, route.maximumAgeMs);
		const places: Place[] = [];
		if (proved) {
			const floor = mark ? laterPosition(proved, mark) : proved;
			for (const endpoint of group.replicas()) {
				if (!refusedBy.has(endpoint.id) && this._isEligible(group, endpoint, floor)) {
					places.push({pool: this._services.ways.pool(endpoint), isPrimary: false, floor});
				}
			}
		}

		const primary = this.primary(group);
		if (primary && !refusedBy.has(primary.pool.endpoint.id) && (proved !== undefined || group.isLeased)) {
			places.push(primary);
		}

		return this._fastest(places, route.priority);
	}

	private _isEligible(group: GroupPrimacy, endpoint: RegisteredEndpoint, floor: LogPosition): boolean {
		const {isAvoided, isShutOut} = this._services.ways.pool(endpoint);
		if (endpoint.isDraining || isAvoided || isShutOut) {
			return false;
		}

		const applied = group.applied(endpoint.id);
		return applied === undefined || hasReached(applied.position, floor)
			|| this._services.clock.nowMs() - applied.atMs > this._services.options.positionOldMs;
	}

	private _fastest(places: readonly Place[], priority: number): Place | undefined {
		let best: Place | undefined;
		let bestMs = Number.POSITIVE_INFINITY;
		for (const place of places) {
			const costMs = this._expectedMs(place, priority);
			if (costMs < bestMs) {
				best = place;
				bestMs = costMs;
			}
		}

		return best;
	}

	private _expectedMs({pool, isPrimary}: Place, priority: number): number {
		const {availabilityZone, options, random} = this._services;
		const awayMs = pool.endpoint.availabilityZone === availabilityZone ? 0 : options.otherZoneMs;
		const primaryMs = isPrimary ? options.primaryReadMs : 0;
		// A little chance keeps nodes that see the same times from choosing in step.
		return (pool.estimateMs('read', priority) * (0.9 + (random.next() / 5))) + awayMs + primaryMs;
	}
}
