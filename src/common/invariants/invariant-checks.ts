/**
 * Run-time checks of the invariants of the program.
 */
import type {
	InvariantName, Invariants, Log, Metrics,
} from '../services/services.js';
import {invariants} from './invariant-names.js';

/** Thrown for a violated invariant if violations are fatal. */
export class InvariantError extends Error {
	override readonly name = 'InvariantError';
}

/** Counts and logs violated invariants, and throws an `InvariantError` if `isFatal` is set. */
export class InvariantChecks implements Invariants {
	private readonly _log: Log;
	private readonly _metrics: Metrics;
	private readonly _isFatal: boolean;

	constructor(log: Log, metrics: Metrics, options: {readonly isFatal?: boolean} = {}) {
		this._log = log;
		this._metrics = metrics;
		this._isFatal = options.isFatal ?? false;
	}

	check(name: InvariantName, condition: boolean, detail: () => string): boolean {
		if (condition) {
			return true;
		}

		const text = detail();
		this._metrics.count('invariantViolationsTotal', {invariant: name});
		this._log.event('invariantViolated', {invariant: name, promise: invariants[name], detail: text});
		if (this._isFatal) {
			throw new InvariantError(`${name}: ${text}`);
		}

		return false;
	}
}
