/**
 * The connection pools of this node, one for each registered endpoint.
 */
import type {Disposable} from '../lifecycle/disposable.js';
import type {RegisteredEndpoint} from '../services/services.js';
import {EndpointPool} from './endpoint-pool.js';
import type {PoolServices} from './types.js';

/** Interval between two sweeps that close unused connections. */
const sweepIntervalMs = 250;

/** Creates pools on demand and disposes those of endpoints that are no longer registered. */
export class PoolSet implements Disposable {
	private readonly _services: PoolServices;
	private readonly _pools = new Map<string, EndpointPool>();
	private readonly _startedAtMs: number;
	private _sweep: Disposable;

	constructor(services: PoolServices) {
		this._services = services;
		this._startedAtMs = services.clock.nowMs();
		this._sweep = this._sweepLater();
	}

	/** The pool of an endpoint; replaced by a new pool when the endpoint restarted or registered with another address. */
	pool(endpoint: RegisteredEndpoint): EndpointPool {
		const known = this._pools.get(endpoint.id);
		if (known && isSameProcess(known.endpoint, endpoint)) {
			return known;
		}

		known?.dispose();
		const pool = new EndpointPool(endpoint, this._services, this._startedAtMs);
		this._pools.set(endpoint.id, pool);
		return pool;
	}

	/** Disposes the pools of a service's endpoints that are missing from `endpoints`, the registered ones. */
	disposeUnregistered(service: string, endpoints: readonly RegisteredEndpoint[]): void {
		const present = new Set(endpoints.map(({id}) => id));
		for (const [id, pool] of this._pools) {
			if (pool.endpoint.service === service && !present.has(id)) {
				pool.dispose();
				this._pools.delete(id);
			}
		}
	}

	dispose(): void {
		this._sweep.dispose();
		for (const pool of this._pools.values()) {
			pool.dispose();
		}
	}

	private _sweepLater(): Disposable {
		return this._services.clock.setTimer(sweepIntervalMs, () => {
			for (const pool of this._pools.values()) {
				pool.closeUnused();
			}

			this._sweep = this._sweepLater();
		});
	}
}

function isSameProcess(a: RegisteredEndpoint, b: RegisteredEndpoint): boolean {
	return a.host === b.host && a.port === b.port && a.incarnation === b.incarnation;
}
