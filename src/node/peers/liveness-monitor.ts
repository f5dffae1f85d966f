/**
 * Detects a peer that sends nothing although messages from it are expected.
 */
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {Clock} from '../../common/services/services.js';

/** The part of a link that the monitor uses. */
export type MonitoredLink = {
	/** Whether requests are in progress; only then is silence a sign of loss. */
	readonly isBusy: boolean;
	/** Called at each tick while busy; `hasReceived` says whether anything arrived since the last tick. */
	onTick(hasReceived: boolean): void;
	/** Called once, when the peer has sent nothing for the maximum number of ticks. */
	onSilent(): void;
};

/**
 * Counts the ticks without received messages while its subject is busy; no timer runs while it is
 * idle. It counts its own ticks instead of elapsed time, and no ticks that came late: after a pause
 * of this process, messages of the peer may have arrived that are not read yet.
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

	/** Records that something arrived from the peer. */
	received(): void {
		this._hasReceived = true;
	}

	/** Starts the checks unless they run already; to be called whenever a request begins. */
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
