/**
 * Whether a primary answers this node: when it was last heard, how attempts failed since, and
 * whether it still has its log.
 */
import type {StatementFault} from '../pools/types.js';
import type {PrimacyOptions} from './constants.js';
import type {PromotionReason} from './types.js';

type HealthOptions = Pick<PrimacyOptions, 'crashRefusals' | 'silentAfterMs'>;

/** Follows one primary from this node. */
export class PrimaryHealth {
	private readonly _options: HealthOptions;
	private _heardAtMs: number;
	private _refusals = 0;
	/** First of the attempts that failed since it was last heard. */
	private _failingSinceMs: number | undefined;
	private _hasLostLog = false;

	constructor(options: HealthOptions, nowMs: number) {
		this._options = options;
		this._heardAtMs = nowMs;
	}

	/** When it last said anything, on the node's clock. */
	get heardAtMs(): number {
		return this._heardAtMs;
	}

	/** Whether attempts failed since it was last heard. */
	get isFailing(): boolean {
		return this._failingSinceMs !== undefined;
	}

	/** Whether it started again and lost what it had acknowledged; it never has that back. */
	get hasLostLog(): boolean {
		return this._hasLostLog;
	}

	/** Time since the first attempt that failed; zero while none has. */
	failingForMs(nowMs: number): number {
		return this._failingSinceMs === undefined ? 0 : nowMs - this._failingSinceMs;
	}

	/** It answered; refusing work is an answer too. */
	onHeard(nowMs: number): void {
		this._heardAtMs = Math.max(this._heardAtMs, nowMs);
		this._refusals = 0;
		this._failingSinceMs = undefined;
	}

	/** Another node heard it at a time; attempts of this node that failed since then count on. */
	onHeardBy(heardAtMs: number): void {
		if (this._failingSinceMs === undefined || heardAtMs > this._failingSinceMs) {
			this.onHeard(heardAtMs);
		}
	}

	/** It started again without its log. */
	onLogLost(): void {
		this._hasLostLog = true;
	}

	/** An attempt that began at a time failed. */
	onFault(cause: StatementFault['cause'], sinceMs: number): void {
		const failingSinceMs = Math.max(sinceMs, this._heardAtMs);
		this._failingSinceMs = Math.min(this._failingSinceMs ?? failingSinceMs, failingSinceMs);
		if (cause === 'refused') {
			this._refusals += 1;
		}
	}

	/**
	 * Why it is taken to be lost; undefined while it is not. Silence counts from the first
	 * attempt that failed: a primary that nobody asked has not been silent.
	 */
	loss(nowMs: number): PromotionReason | undefined {
		if (this._hasLostLog) {
			return 'emptied';
		}

		if (this._refusals >= this._options.crashRefusals) {
			return 'crashed';
		}

		return this.failingForMs(nowMs) >= this._options.silentAfterMs ? 'silent' : undefined;
	}
}
