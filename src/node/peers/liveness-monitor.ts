/**
 * Notices a peer that has fallen silent while it is expected to say something.
 */
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {Clock} from '../../common/services/services.js';

/** What the watch asks of its link. */
export type MonitoredLink = {
	/** Whether something is in progress, so that silence means something. */
	readonly isBusy: boolean;
	/** Called each tick while busy; `hasReceived` tells of the time since the last tick. */
	onTick(hasReceived: boolean): void;
	/** Called once, when the peer has been silent for too long. */
	onSilent(): void;
};

/**
 * Counts ticks without a sign of life while its subject is busy; costs nothing while idle.
 * It counts ticks of its own rather than elapsed time, and none that came late: after a
 * pause of this process the peer's words may lie unread.
 */
export class LivenessMonitor implements Disposable {
	private readonly _tickMs: number;
	private readonly _maximumSilentTicks: number;
	private _timer: Disposable | undefined;
	private _hasReceived = false;
	private _silentTicks = 0;
	private _dueAtMs = 0;

	constructor(
		private readonly _clock: Clock,
		private readonly _subject: MonitoredLink,
		options: {readonly tickMs: number; readonly maximumSilentTicks: number},
	) {
		this._tickMs = options.tickMs;
		this._maximumSilentTicks = options.maximumSilentTicks;
	}

	/** Notes a sign of life. */
	received(): void {
		this._hasReceived = true;
	}

	/** Starts to watch; to be called whenever something begins. */
	start(): void {
		if (!this._timer) {
			this._silentTicks = 0;
			this._schedule();
		}
	}

	dispose(): void {
		this._timer?.dispose();
		this._timer = undefined;
	}

	private _schedule(): void {
		this._dueAtMs = this._clock.nowMs() + this._tickMs;
		this._timer = this._clock.setTimer(this._tickMs, () => {
			this._tick();
		});
	}

	private _tick(): void {
		this._timer = undefined;
		if (!this._subject.isBusy) {
			return;
		}

		const hasReceived = this._hasReceived;
		const isLate = this._clock.nowMs() - this._dueAtMs > this._tickMs;
		this._hasReceived = false;
		this._silentTicks = hasReceived ? 0 : this._silentTicks + (isLate ? 0 : 1);
		if (this._silentTicks >= this._maximumSilentTicks) {
			this._subject.onSilent();
			return;
		}

		this._schedule();
		this._subject.onTick(hasReceived);
	}
}
