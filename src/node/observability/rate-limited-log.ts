/**
 * Bounds how many lines a log writes in a second, and says how many it left out.
 */
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {Clock, Log, LogEventName} from '../../common/services/services.js';

/** Time between two counts of lines. */
const spanMs = 1000;

/** Events that are always written: they are rare, and others are read in their light. */
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

/** A log that says which events it writes. */
type LeveledLog = Log & {
	isWritten(name: LogEventName): boolean;
};

/** Passes events on up to a number a second. */
export class RateLimitedLog implements Log, Disposable {
	private readonly _log: LeveledLog;
	private readonly _clock: Clock;
	private readonly _linesPerInterval: number;
	private readonly _dropped = new Map<LogEventName, number>();
	private _lines = 0;
	private _timer: Disposable | undefined;

	constructor(log: LeveledLog, clock: Clock, linesPerSpan: number) {
		this._log = log;
		this._clock = clock;
		this._linesPerInterval = linesPerSpan;
	}

	event(name: LogEventName, fields?: Readonly<Record<string, unknown>>): void {
		// Events of every write must not use up the lines of those that are written.
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
