/**
 * Limits how often one address may fail to authenticate.
 */
import type {Clock} from '../../common/services/services.js';
import {type authenticationDefaults} from './constants.js';

type Failures = {count: number; sinceMs: number};

/** Counts failures by address within a window. */
export class FailureLimiter {
	private readonly _clock: Clock;
	private readonly _options: typeof authenticationDefaults;
	private readonly _failures = new Map<string, Failures>();

	constructor(clock: Clock, options: typeof authenticationDefaults) {
		this._clock = clock;
		this._options = options;
	}

	/** Time until the address may try again; zero if it may try now. */
	remainingWaitMs(address: string): number {
		const failures = this._failures.get(address);
		if (failures === undefined || failures.count < this._options.failuresAllowed) {
			return 0;
		}

		const remainingMs = failures.sinceMs + this._options.failureWindowMs - this._clock.nowMs();
		if (remainingMs <= 0) {
			this._failures.delete(address);
		}

		return Math.max(0, remainingMs);
	}

	note(address: string): void {
		const nowMs = this._clock.nowMs();
		const known = this._failures.get(address);
		const isCurrent = known !== undefined && nowMs - known.sinceMs < this._options.failureWindowMs;
		const failures = isCurrent ? known : {count: 0, sinceMs: nowMs};
		failures.count++;
		this._failures.delete(address);
		this._failures.set(address, failures);
		if (this._failures.size > this._options.addressesRemembered) {
			const [oldest = ''] = this._failures.keys();
			this._failures.delete(oldest);
		}
	}
}
