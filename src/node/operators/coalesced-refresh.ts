/**
 * A refresh that all who ask for it at about the same time share.
 */
import type {Clock} from '../../common/services/services.js';

/** Starts a refresh on request, never two at the same time, and none soon after another. */
export class CoalescedRefresh {
	private readonly _clock: Clock;
	private readonly _keepMs: number;
	private readonly _performRefresh: () => Promise<void>;
	private _refresh: Promise<void> | undefined;
	private _isRunning = false;
	private _startedAtMs = 0;

	/** A refresh is reused for `keepMs` from its start. */
	constructor(clock: Clock, keepMs: number, act: () => Promise<void>) {
		this._clock = clock;
		this._keepMs = keepMs;
		this._performRefresh = act;
	}

	/** Resolves at the end of the latest refresh; starts a new one if that is too old. */
	async run(): Promise<void> {
		const nowMs = this._clock.nowMs();
		if (this._refresh === undefined || (!this._isRunning && nowMs - this._startedAtMs >= this._keepMs)) {
			this._startedAtMs = nowMs;
			this._refresh = this._start();
		}

		return this._refresh;
	}

	private async _start(): Promise<void> {
		this._isRunning = true;
		try {
			await this._performRefresh();
		} finally {
			this._isRunning = false;
		}
	}
}
