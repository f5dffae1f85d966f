/**
 * Rounds of questions that all who ask at about the same time share.
 */
import type {Clock} from '../../common/services/services.js';

/** Begins a round when somebody asks, no two at one time, and none soon after another. */
export class CoalescedRefresh {
	private readonly _clock: Clock;
	private readonly _keepMs: number;
	private readonly _act: () => Promise<void>;
	private _round: Promise<void> | undefined;
	private _isRunning = false;
	private _startedAtMs = 0;

	/** A round counts for `keepMs` from its beginning. */
	constructor(clock: Clock, keepMs: number, act: () => Promise<void>) {
		this._clock = clock;
		this._keepMs = keepMs;
		this._act = act;
	}

	/** Resolves at the end of the round that counts now. */
	async run(): Promise<void> {
		const nowMs = this._clock.nowMs();
		if (this._round === undefined || (!this._isRunning && nowMs - this._startedAtMs >= this._keepMs)) {
			this._startedAtMs = nowMs;
			this._round = this._start();
		}

		return this._round;
	}

	private async _start(): Promise<void> {
		this._isRunning = true;
		try {
			await this._act();
		} finally {
			this._isRunning = false;
		}
	}
}
