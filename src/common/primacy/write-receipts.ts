/**
 * Waits until a replica has received a write, so that it outlasts its primary.
 */
import type {ReportedStatus} from '../pools/types.js';
import type {LogPosition} from '../positions/log-position.js';
import {hasReached} from '../positions/log-position.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {Clock} from '../services/services.js';
import type {PrimacyOptions} from './constants.js';

/** What is known of a group's replicas, and how more is learned. */
export type ReplicaReports = {
	/** What the replicas last reported. */
	reports(): readonly ReportedStatus[];
	/** Term that counts; undefined without a primary. */
	term(): number | undefined;
	/** Asks the nearest replica; takes a millisecond at least. */
	pollNearest(): Promise<unknown>;
};

type ReceiptOptions = Pick<PrimacyOptions, 'confirmationWaitMs' | 'confirmationPauseMs'>;

/** Confirms positions of one group; all who wait share the questions. */
export class WriteReceipts {
	private readonly _clock: Clock;
	private readonly _options: ReceiptOptions;
	private readonly _replicas: ReplicaReports;
	private _pendingPoll: Promise<unknown> | undefined;
	private _waitResumesAtMs = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, options: ReceiptOptions, replicas: ReplicaReports) {
		this._clock = clock;
		this._options = options;
		this._replicas = replicas;
	}

	/** Waits a moment until a replica has received a position of the current term; resolves with whether one has. */
	async confirm(position: LogPosition): Promise<boolean> {
		if (this._clock.nowMs() < this._waitResumesAtMs) {
			return this._isReceived(position);
		}

		const endMs = this._clock.nowMs() + this._options.confirmationWaitMs;
		while (!this._isReceived(position) && this._clock.nowMs() < endMs) {
			this._pendingPoll ??= this._replicas.pollNearest().finally(() => {
				this._pendingPoll = undefined;
			});
			await withTimeout(this._clock, this._pendingPoll, endMs - this._clock.nowMs());
		}

		const isReceived = this._isReceived(position);
		if (!isReceived) {
			this._waitResumesAtMs = this._clock.nowMs() + this._options.confirmationPauseMs;
		}

		return isReceived;
	}

	/** What a replica received in a term it keeps in that term. */
	private _isReceived(position: LogPosition): boolean {
		const term = this._replicas.term();
		return this._replicas.reports().some(({status}) => status.term === term && hasReached(status.received, position));
	}
}
