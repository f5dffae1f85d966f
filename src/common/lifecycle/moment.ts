/**
 * Moments whose age a suspension of the host does not hide: its steady clock stops meanwhile, the
 * time of day goes on.
 */
import type {Clock} from '../services/services.js';

/** A moment on both clocks of a host, in milliseconds. */
export type Moment = {
	readonly steadyMs: number;
	readonly wallMs: number;
};

/** This moment. */
export function currentMoment(clock: Clock): Moment {
	return {steadyMs: clock.nowMs(), wallMs: clock.wallClockMs()};
}

/** The moment so many milliseconds after another one. */
export function momentAfter({steadyMs, wallMs}: Moment, byMs: number): Moment {
	return {steadyMs: steadyMs + byMs, wallMs: wallMs + byMs};
}

/**
 * Milliseconds since a moment: what the clock says that counts more. A time of day that was set
 * forward makes a moment older than it is, which costs a proof; one that was set back does no harm
 * unless the host was suspended in between.
 */
export function momentAgeMs({steadyMs, wallMs}: Moment, clock: Clock): number {
	return Math.max(clock.nowMs() - steadyMs, clock.wallClockMs() - wallMs);
}
