/**
 * Faults that can be injected into an endpoint.
 */
import {z} from 'zod';
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import {Emitter, type Event} from '../../src/common/lifecycle/emitter.js';
import type {Clock} from '../../src/common/services/services.js';

const forMs = z.number().min(0).optional();

/** Schema of the fault commands to the control port. */
export const faultSchema = z.discriminatedUnion('fault', [
	z.strictObject({
		fault: z.literal('crash'),
		/** Whether the endpoint loses its memory; after the crash it is then in the role `rebuilding`. */
		isForgetting: z.boolean().default(false),
		forMs,
	}),
	z.strictObject({fault: z.literal('freeze'), forMs}),
	z.strictObject({
		fault: z.literal('cut'),
		/** Names of the instances, homes or observers to isolate the endpoint from; without it, all of them. */
		peers: z.array(z.string()).optional(),
		forMs,
	}),
	z.strictObject({fault: z.literal('slow'), addedMs: z.number().min(0), forMs}),
	z.strictObject({fault: z.literal('lag'), p50Ms: z.number().min(0), p99Ms: z.number().min(0)}),
	z.strictObject({fault: z.literal('heal')}),
]);

/** One fault command. */
export type FaultCommand = z.infer<typeof faultSchema>;

/** The active faults. */
export type ActiveFaults = {
	readonly isCrashed: boolean;
	readonly isFrozen: boolean;
	/** `all`, or the names of the instances, homes or observers that the endpoint is isolated from. */
	readonly cut: 'all' | readonly string[];
	readonly addedMs: number;
};

const noFaults: ActiveFaults = {
	isCrashed: false, isFrozen: false, cut: [], addedMs: 0,
};

/** Tracks the active faults, and ends those that have a duration. */
export class EndpointFaults implements Disposable {
	/** Fires with the active faults when they change. */
	readonly onChange: Event<ActiveFaults>;
	private readonly _clock: Clock;
	private readonly _timers = new Map<keyof ActiveFaults, Disposable>();
	private readonly _onChange = new Emitter<ActiveFaults>();
	private _active = noFaults;

	constructor(clock: Clock) {
		this._clock = clock;
		this.onChange = this._onChange.event;
	}

	get active(): ActiveFaults {
		return this._active;
	}

	/** Whether no bytes pass between this endpoint and a peer. A peer whose name is unknown is held only if all peers are. */
	isHeld(peer: string | undefined): boolean {
		const {isFrozen, cut} = this._active;
		return isFrozen || cut === 'all' || (peer !== undefined && cut.some(name => peer === name || peer.startsWith(`${name}/`)));
	}

	/** Activates a fault, or ends all of them; `lag` has no effect here, the endpoint applies it itself. */
	apply(order: FaultCommand): void {
		switch (order.fault) {
			case 'crash': {
				this._set({isCrashed: true}, 'isCrashed', order.forMs);
				break;
			}

			case 'freeze': {
				this._set({isFrozen: true}, 'isFrozen', order.forMs);
				break;
			}

			case 'cut': {
				this._set({cut: order.peers ?? 'all'}, 'cut', order.forMs);
				break;
			}

			case 'slow': {
				this._set({addedMs: order.addedMs}, 'addedMs', order.forMs);
				break;
			}

			case 'heal': {
				this._clearTimers();
				this._setActive(noFaults);
				break;
			}

			case 'lag': {
				break;
			}
		}
	}

	dispose(): void {
		this._clearTimers();
		this._onChange.dispose();
	}

	private _set(changes: Partial<ActiveFaults>, key: keyof ActiveFaults, durationMs: number | undefined): void {
		this._timers.get(key)?.dispose();
		this._timers.delete(key);
		this._setActive({...this._active, ...changes});
		if (durationMs !== undefined) {
			this._timers.set(key, this._clock.setTimer(durationMs, () => {
				this._setActive({...this._active, [key]: noFaults[key]});
			}));
		}
	}

	private _setActive(active: ActiveFaults): void {
		this._active = active;
		this._onChange.fire(active);
	}

	private _clearTimers(): void {
		for (const timer of this._timers.values()) {
			timer.dispose();
		}

		this._timers.clear();
	}
}
