/**
 * The platform's clock, learned from the Date header of its answers.
 *
 * Its resolution is one second; it serves expiry times of many seconds, which must not rest
 * on the clocks of hosts agreeing with each other.
 */
import {z} from 'zod';
import type {Clock} from '../../common/services/services.js';

const datedResponse = z.object({headers: z.object({date: z.string()})});

/** Follows the platform's clock between its answers by the host's monotonic one. */
export class DateHeaderClock {
	private readonly _clock: Clock;
	private _offsetMs: number | undefined;

	constructor(clock: Clock) {
		this._clock = clock;
	}

	/** Milliseconds since 1970; undefined before the first answer. */
	nowMs(): number | undefined {
		return this._offsetMs === undefined ? undefined : this._offsetMs + this._clock.nowMs();
	}

	/** Takes in the response to a request. */
	note(response: unknown): void {
		const dated = datedResponse.safeParse(response);
		const dateMs = dated.success ? Date.parse(dated.data.headers.date) : Number.NaN;
		if (Number.isFinite(dateMs)) {
			this._offsetMs = dateMs - this._clock.nowMs();
		}
	}
}
