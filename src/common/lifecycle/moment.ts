/**
 * Moments whose age includes the time for which the host was suspended: the monotonic clock stops then,
 * the wall clock does not.
 */
import type {Clock} from '../services/services.js';

/** A moment on the monotonic and the wall clock of a host, in milliseconds. */
export type Moment = {
	readonly steadyMs: number;
	readonly wallMs: number;
};

/** The current moment. */
export function currentMoment(clock: Clock): Moment {
	return {steadyMs: clock.nowMs(), wallMs: clock.wallClockMs()};
}

/** The moment `byMs` milliseconds after another one; before it if `byMs` is negative. */
export function momentAfter({steadyMs, wallMs}: Moment, byMs: number): Moment {
	return {steadyMs: steadyMs + byMs, wallMs: wallMs + byMs};
}

/**
 * Milliseconds since a moment: the larger of the times on the two clocks. A wall clock that was set
 * forward makes the moment appear older than it is, which only costs another proof. One that was set
 * back does no harm unless the host was also suspended since the moment.
 */
export function momentAgeMs({steadyMs, wallMs}: Moment, clock: Clock): number {
	return Math.max(clock.nowMs() - steadyMs, clock.wallClockMs() - wallMs);
}
