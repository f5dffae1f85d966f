/**
 * Limits how many lines a log writes per second, and logs how many it dropped.
 */
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {Clock, Log, LogEventName} from '../../common/services/services.js';

/** Length of the interval in which lines are counted; also a field of the `logLinesDropped` event. */
const spanMs = 1000;

/** Events that are always written: they are rare, and other events can't be understood without them. */
const unbounded: ReadonlySet<LogEventName> = new Set([
	'processStarted',
	'processReady',
	'processDraining',
	'processStopped',
	'uncaughtError',
	'settingsReloaded',
	'storeFollowed',
	'storeNotFollowed',
	'configurationInForce',
	'primaryAdopted',
	'promotionStarted',
	'promotionOrdered',
	'promotionAccepted',
	'replicaFenced',
	'replicaResumed',
	'termFenced',
	'promotionFinished',
	'promotionFailed',
	'readinessChanged',
]);

/** A log that tells which events are severe enough to be written. */
type LeveledLog = Log & {
	isWritten(name: LogEventName): boolean;
};

/** Forwards events to a log, at most a given number per interval; events in `unbounded` are always forwarded and not counted. */
export class RateLimitedLog implements Log, Disposable {
	private readonly _log: LeveledLog;
	private readonly _clock: Clock;
	private readonly _linesPerInterval: number;
	private readonly _dropped = new Map<LogEventName, number>();
	private _lines = 0;
	private _timer: Disposable | undefined;

	constructor(log: LeveledLog, clock: Clock, linesPerInterval: number) {
		this._log = log;
		this._clock = clock;
		this._linesPerInterval = linesPerInterval;
	}

	event(name: LogEventName, fields?: Readonly<Record<string, unknown>>): void {
		// Events below the log's level are not written and must not use up the limit: `writeAcknowledged`, for example, occurs with every acknowledged write.
		if (!this._log.isWritten(name)) {
			return;
		}

		this._timer ??= this._clock.setTimer(spanMs, () => {
			this._endInterval();
		});
		if (unbounded.has(name)) {
			this._log.event(name, fields);
			return;
		}

		this._lines += 1;
		if (this._lines <= this._linesPerInterval) {
			this._log.event(name, fields);
		} else {
			this._dropped.set(name, (this._dropped.get(name) ?? 0) + 1);
		}
	}

	dispose(): void {
		this._timer?.dispose();
	}

	private _endInterval(): void {
		this._timer = undefined;
		this._lines = 0;
		if (this._dropped.size > 0) {
			this._log.event('logLinesDropped', {dropped: Object.fromEntries(this._dropped), spanMs});
			this._dropped.clear();
		}
	}
}
