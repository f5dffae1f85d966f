/**
 * Runs the operations of one platform service within a time limit, and reports its availability.
 */
import {Left, type Either} from 'purify-ts';
import type {
	Clock, Log, Metrics, PlatformFault,
} from '../../common/services/services.js';
import {faultOf} from './platform-faults.js';

/** Operations of one of the platform's services. */
export class PlatformCalls {
	private readonly _service: string;
	private readonly _timeoutMs: number;
	private readonly _clock: Clock;
	private readonly _log: Log;
	private readonly _metrics: Metrics;
	private _isAvailable = true;

	constructor(service: {readonly name: string; readonly timeoutMs: number}, clock: Clock, log: Log, metrics: Metrics) {
		this._service = service.name;
		this._timeoutMs = service.timeoutMs;
		this._clock = clock;
		this._log = log;
		this._metrics = metrics;
	}

	/** Runs one operation; never rejects and never takes longer than the time limit. */
	async run<T>(operation: string, call: (signal: AbortSignal) => Promise<Either<PlatformFault, T>>): Promise<Either<PlatformFault, T>> {
		const startedAtMs = this._clock.nowMs();
		const result = await this._runWithinTime(call);
		this._metrics.observe('platformRequestDurationMs', this._clock.nowMs() - startedAtMs, {service: this._service});
		this._metrics.count('platformRequestsTotal', {service: this._service, operation, outcome: faultIn(result)?.kind ?? 'done'});
		this._updateAvailability(result);
		return result;
	}

	private async _runWithinTime<T>(call: (signal: AbortSignal) => Promise<Either<PlatformFault, T>>): Promise<Either<PlatformFault, T>> {
		const controller = new AbortController();
		return new Promise(resolve => {
			const timer = this._clock.setTimer(this._timeoutMs, () => {
				controller.abort();
				resolve(Left({kind: 'unavailable', detail: `no answer in ${this._timeoutMs} ms`}));
			});
			const finish = async (): Promise<void> => {
				resolve(await callWithoutThrowing(call, controller.signal));
				timer.dispose();
			};

			void finish();
		});
	}

	/** Logs when the service becomes unavailable and when it is available again, not every failure. */
	private _updateAvailability(result: Either<PlatformFault, unknown>): void {
		const fault = faultIn(result);
		const isAvailable = fault?.kind !== 'unavailable';
		if (isAvailable === this._isAvailable) {
			return;
		}

		this._isAvailable = isAvailable;
		this._metrics.gauge('platformIsAvailable', isAvailable ? 1 : 0, {service: this._service});
		this._log.event(isAvailable ? 'platformAvailable' : 'platformUnavailable', {service: this._service, detail: fault?.detail});
	}
}

function faultIn(result: Either<PlatformFault, unknown>): PlatformFault | undefined {
	return result.isLeft() ? result.extract() : undefined;
}

async function callWithoutThrowing<T>(call: (signal: AbortSignal) => Promise<Either<PlatformFault, T>>, signal: AbortSignal): Promise<Either<PlatformFault, T>> {
	try {
		return await call(signal);
	} catch (error) {
		return Left(faultOf(error));
	}
}

