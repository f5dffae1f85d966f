/**
 * Waits until a replica has received a write, so that the write survives the loss of its primary.
 */
import type {ReportedStatus} from '../pools/types.js';
import type {LogPosition} from '../positions/log-position.js';
import {hasReached} from '../positions/log-position.js';
import {withTimeout} from '../lifecycle/timing.js';
import type {Clock} from '../services/services.js';
import type {PrimacyOptions} from './constants.js';

/** Gives access to the reports of a group's replicas, and polls for new ones. */
export type ReplicaReports = {
	/** Returns the last status that each replica reported. */
	reports(): readonly ReportedStatus[];
	/** Returns the current term; undefined without a primary. */
	term(): number | undefined;
	/** Polls the nearest replica; takes at least a millisecond. */
	pollNearest(): Promise<unknown>;
};

type ReceiptOptions = Pick<PrimacyOptions, 'confirmationWaitMs' | 'confirmationPauseMs'>;

/** Confirms positions of one group; concurrent callers share the polls. */
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

	/**
	 * Waits up to `confirmationWaitMs` until a replica has received a position of the current term,
	 * and resolves to whether one has. For `confirmationPauseMs` after a wait that timed out, it only
	 * checks what is already known.
	 */
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

	/** Whether a replica has received a position in the current term; within a term, it keeps what it has received. */
	private _isReceived(position: LogPosition): boolean {
		const term = this._replicas.term();
		return this._replicas.reports().some(({status}) => status.term === term && hasReached(status.received, position));
	}
}
