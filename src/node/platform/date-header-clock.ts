/**
 * The platform's clock, derived from the Date header of its responses.
 *
 * Its resolution is one second. It is used for expiry times of many seconds, which must not
 * depend on the clocks of hosts being synchronised.
 */
import {z} from 'zod';
import type {Clock} from '../../common/services/services.js';

const datedResponse = z.object({headers: z.object({date: z.string()})});

/** Tracks the platform's clock, and extrapolates it between responses with the host's monotonic clock. */
export class DateHeaderClock {
	private readonly _clock: Clock;
	private _offsetMs: number | undefined;

	constructor(clock: Clock) {
		this._clock = clock;
	}

	/** Milliseconds since 1970; undefined before the first response. */
	nowMs(): number | undefined {
		return this._offsetMs === undefined ? undefined : this._offsetMs + this._clock.nowMs();
	}

	/** Sets the clock by the Date header of a response; ignores a response without one. */
	note(response: unknown): void {
		const dated = datedResponse.safeParse(response);
		const dateMs = dated.success ? Date.parse(dated.data.headers.date) : Number.NaN;
		if (Number.isFinite(dateMs)) {
			this._offsetMs = dateMs - this._clock.nowMs();
		}
	}
}
