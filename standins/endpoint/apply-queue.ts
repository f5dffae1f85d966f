/**
 * Applies received entries after a delay, in order.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Clock} from '../../src/common/services/services.js';

type Pending = {
	readonly endOffset: number;
	readonly dueMs: number;
};

/** Holds offsets back until they are due. */
export class ApplyQueue implements Disposable {
	private _pending: Pending[] = [];
	private _timer: Disposable | undefined;
	private readonly _clock: Clock;
	private readonly _applyUpTo: (offset: number) => void;

	constructor(clock: Clock, applyUpTo: (offset: number) => void) {
		this._clock = clock;
		this._applyUpTo = applyUpTo;
	}

	/** Lets the log up to an offset be applied after a delay, and never before what came earlier. */
	add(endOffset: number, delayMs: number): void {
		const dueMs = Math.max(this._clock.nowMs() + delayMs, this._pending.at(-1)?.dueMs ?? 0);
		if (this._pending.length === 0 && delayMs <= 0) {
			this._applyUpTo(endOffset);
			return;
		}

		this._pending.push({endOffset, dueMs});
		this._arm();
	}

	/** Forgets what is not applied yet. */
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
		const firstLater = this._pending.findIndex(pending => pending.dueMs > nowMs);
		const due = firstLater === -1 ? this._pending : this._pending.slice(0, firstLater);
		this._pending = firstLater === -1 ? [] : this._pending.slice(firstLater);
		const last = due.at(-1);
		if (last) {
			this._applyUpTo(last.endOffset);
		}
	}
}
