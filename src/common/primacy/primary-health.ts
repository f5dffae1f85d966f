/**
 * Health of a primary as seen by this node: when it was last heard from, which attempts have failed
 * since, and whether it still has its log.
 */
import type {StatementFault} from '../pools/types.js';
import type {PrimacyOptions} from './constants.js';
import type {PromotionReason} from './types.js';

type HealthOptions = Pick<PrimacyOptions, 'crashRefusals' | 'silentAfterMs'>;

/** Tracks the health of one primary. */
export class PrimaryHealth {
	private readonly _options: HealthOptions;
	private _heardAtMs: number;
	private _refusals = 0;
	/** Start of the first attempt that has failed since the primary was last heard from. */
	private _failingSinceMs: number | undefined;
	private _hasLostLog = false;

	constructor(options: HealthOptions, nowMs: number) {
		this._options = options;
		this._heardAtMs = nowMs;
	}

	/** When anything was last received from the primary, on this node's clock. */
	get heardAtMs(): number {
		return this._heardAtMs;
	}

	/** Whether attempts have failed since the primary was last heard from. */
	get isFailing(): boolean {
		return this._failingSinceMs !== undefined;
	}

	/** Whether the primary restarted and lost acknowledged writes, which it never regains. */
	get hasLostLog(): boolean {
		return this._hasLostLog;
	}

	/** Returns the time in milliseconds since the first failed attempt; zero while none has failed. */
	failingForMs(nowMs: number): number {
		return this._failingSinceMs === undefined ? 0 : nowMs - this._failingSinceMs;
	}

	/** Records a response of the primary; a refusal counts as a response. */
	onHeard(nowMs: number): void {
		this._heardAtMs = Math.max(this._heardAtMs, nowMs);
		this._refusals = 0;
		this._failingSinceMs = undefined;
	}

	/** Records when another node heard from the primary; this node's attempts that failed after that still count. */
	onHeardBy(heardAtMs: number): void {
		if (this._failingSinceMs === undefined || heardAtMs > this._failingSinceMs) {
			this.onHeard(heardAtMs);
		}
	}

	/** Records that the primary restarted without its log. */
	onLogLost(): void {
		this._hasLostLog = true;
	}

	/** Records the failure of an attempt that began at the given time. */
	onFault(cause: StatementFault['cause'], sinceMs: number): void {
		const failingSinceMs = Math.max(sinceMs, this._heardAtMs);
		this._failingSinceMs = Math.min(this._failingSinceMs ?? failingSinceMs, failingSinceMs);
		if (cause === 'refused') {
			this._refusals += 1;
		}
	}

	/**
	 * Returns why the primary counts as lost, or undefined while it does not. Silence is measured
	 * from the first failed attempt: a primary that received no requests has not been silent.
	 */
	promotionReason(nowMs: number): PromotionReason | undefined {
		if (this._hasLostLog) {
			return 'emptied';
		}

		if (this._refusals >= this._options.crashRefusals) {
			return 'crashed';
		}

		return this.failingForMs(nowMs) >= this._options.silentAfterMs ? 'silent' : undefined;
	}
}
