/**
 * Schedule of the times at which refused callers return.
 *
 * Addresses bursts after which refused callers all retry at once: each refused caller is given the
 * next place of its class, and places follow one another at the rate at which the endpoint serves
 * the class. The schedule is lost with its home; the next home begins with an empty one.
 */
import type {LoadOptions} from './constants.js';

/** A refusal that needs a return time. */
export type RefusedCaller = {
	readonly nowMs: number;
	readonly priority: number;
	/** Time until the queue has room again for a statement of the class that meets its goal. */
	readonly roomInMs: number;
	/** Time in which the endpoint serves one statement of the class. */
	readonly spacingMs: number;
	/** Time left until the deadline of the statement; infinite if it is not known. */
	readonly timeLeftMs: number;
	/** A random number from zero to below one. */
	readonly random: number;
};

/** Assigns places to refused callers. */
export class ReturnSchedule {
	private readonly _options: Pick<LoadOptions, 'returnJitter'>;
	/** When the last assigned place of each class is due. */
	private readonly _lastPlaceMs = new Map<number, number>();

	constructor(options: Pick<LoadOptions, 'returnJitter'>) {
		this._options = options;
	}

	/**
	 * Time in milliseconds after which a refused caller is to return. A place beyond the deadline is
	 * not assigned, because nobody would use it; the caller is then told the end of its time.
	 */
	returnAfterMs({nowMs, priority, roomInMs, spacingMs, timeLeftMs, random}: RefusedCaller): number {
		const lastMs = this._lastPlaceMs.get(priority) ?? Number.NEGATIVE_INFINITY;
		const placeMs = Math.max(nowMs + roomInMs, lastMs + spacingMs);
		const spread = 1 + (this._options.returnJitter * random);
		const afterMs = (placeMs - nowMs) * spread;
		if (afterMs > timeLeftMs) {
			return Math.max(0, timeLeftMs) * (1 - (this._options.returnJitter * random));
		}

		this._lastPlaceMs.set(priority, placeMs);
		return afterMs;
	}
}
