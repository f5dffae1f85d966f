/**
 * Delays the application of received log entries and keeps their order.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Clock} from '../../src/common/services/services.js';

type Pending = {
	readonly endOffset: number;
	readonly dueMs: number;
};

/** Queue of log offsets, each with the time at which the log may be applied up to it. */
export class ApplyQueue implements Disposable {
	private _pending: Pending[] = [];
	private _timer: Disposable | undefined;
	private readonly _clock: Clock;
	private readonly _applyUpTo: (offset: number) => void;

	constructor(clock: Clock, applyUpTo: (offset: number) => void) {
		this._clock = clock;
		this._applyUpTo = applyUpTo;
	}

	/** Schedules the application of the log up to an offset after a delay, and never before the offsets that were added earlier. */
	add(endOffset: number, delayMs: number): void {
		const dueMs = Math.max(this._clock.nowMs() + delayMs, this._pending.at(-1)?.dueMs ?? 0);
		if (this._pending.length === 0 && delayMs <= 0) {
			this._applyUpTo(endOffset);
			return;
		}

		this._pending.push({endOffset, dueMs});
		this._arm();
	}

	/** Removes all offsets that are not due yet, without applying them. */
	clear(): void {
		this._pending = [];
		this._timer?.dispose();
		this._timer = undefined;
	}

	dispose(): void {
		this.clear();
	}

	private _arm(): void {
		const [first] = this._pending as Array<Pending | undefined>;
		if (this._timer !== undefined || !first) {
			return;
		}

		this._timer = this._clock.setTimer(Math.max(0, first.dueMs - this._clock.nowMs()), () => {
			this._timer = undefined;
			this._applyDue();
			this._arm();
		});
	}

	private _applyDue(): void {
		const nowMs = this._clock.nowMs();
		const notDueIndex = this._pending.findIndex(pending => pending.dueMs > nowMs);
		const due = notDueIndex === -1 ? this._pending : this._pending.slice(0, notDueIndex);
		this._pending = notDueIndex === -1 ? [] : this._pending.slice(notDueIndex);
		const last = due.at(-1);
		if (last) {
			this._applyUpTo(last.endOffset);
		}
	}
}
