/**
 * Decides how many idle connections to an endpoint a home keeps, and which it closes first, where each
 * connection belongs to one organisation.
 *
 * Load: more organisations than an endpoint accepts connections. A new connection occupies a slot of
 * the endpoint for about 12 ms, as long as a statement, so the connections that are worth keeping are
 * those that will be used most often. The least recently used one is a poor choice: when many
 * organisations take turns, each finds its connection closed just before it returns.
 */
import type {RetentionOptions} from './constants.js';
import {UseRates} from './use-rates.js';

/** Decayed uses below which an organisation is forgotten. */
const leastUses = 0.05;

/** Interval, in uses, between two sweeps that forget organisations. */
const pruneInterval = 256;

/** Owner of a connection: an organisation, or undefined for the node itself. */
export type ConnectionOwner = string | undefined;

/** Retains the connections to one endpoint. */
export class ConnectionRetention {
	private readonly _options: RetentionOptions;
	private readonly _rates: UseRates<ConnectionOwner>;
	private _idleLimit: number;
	private _changedAtMs: number;
	private _uses = 0;

	constructor(options: RetentionOptions, nowMs: number) {
		this._options = options;
		this._rates = new UseRates(options.useHalfLifeMs);
		this._idleLimit = options.minimumIdle;
		this._changedAtMs = nowMs;
	}

	/** Records that a connection of an owner was used. */
	noteUse(owner: ConnectionOwner, nowMs: number): void {
		this._rates.note(owner, nowMs);
		this._uses += 1;
		if (this._uses % pruneInterval === 0) {
			this._rates.prune(leastUses, nowMs);
		}
	}

	/** Records that the endpoint refused a connection because it had too many. */
	noteRefused(nowMs: number): void {
		this._idleLimit = this._options.minimumIdle;
		this._changedAtMs = nowMs + this._options.growthPauseMs;
	}

	/**
	 * Maximum number of idle connections, for an endpoint that accepts `accepted` connections from all
	 * nodes and runs `slots` statements at a time. Grows step by step while the endpoint refuses none.
	 */
	idleLimit(accepted: number, slots: number, nowMs: number): number {
		const {minimumIdle, steadyShare, growthIntervalMs} = this._options;
		const maximum = Number.isFinite(accepted) ? Math.max(minimumIdle, Math.floor(accepted * steadyShare) - slots) : minimumIdle;
		const steps = Math.floor((nowMs - this._changedAtMs) / growthIntervalMs);
		if (steps > 0) {
			this._idleLimit += steps;
			this._changedAtMs += steps * growthIntervalMs;
		}

		this._idleLimit = Math.min(this._idleLimit, maximum);
		return this._idleLimit;
	}

	/**
	 * Index of the idle connection to close first, given their owners, the least recently used one first;
	 * -1 if there are none. It is the one whose loss costs the least new connections: where an owner has
	 * several, each of them has a part of its uses.
	 */
	leastValuable(owners: readonly ConnectionOwner[], nowMs: number): number {
		const counts = new Map<ConnectionOwner, number>();
		for (const owner of owners) {
			counts.set(owner, (counts.get(owner) ?? 0) + 1);
		}

		let leastIndex = -1;
		let least = Number.POSITIVE_INFINITY;
		for (const [index, owner] of owners.entries()) {
			const value = this._rates.of(owner, nowMs) / counts.get(owner)!;
			if (value < least) {
				least = value;
				leastIndex = index;
			}
		}

		return leastIndex;
	}
}
