/**
 * What is known about one host.
 */
import type {Host} from '../services/services.js';
import type {MembershipOptions} from './constants.js';

/** One host of the directory: what it said, where that came from, and whether it answers. */
export class KnownHost {
	private _host: Host;
	/** When the host itself was last heard; undefined when only the list showed it. */
	private _lastContactAtMs: number | undefined;
	/** The incarnation before this one, which a lagging list may go on showing. */
	private _previous: {readonly incarnation: string; readonly replacedAtMs: number} | undefined;
	/** Reads of the list in a row that did not show the host; undefined when none ever did. */
	private _missedReads: number | undefined;
	private _failures = 0;
	private _suspectedAtMs: number | undefined;
	private _retryAtMs = 0;
	private _retryMs = 0;
	private _isRetryPending = false;

	constructor(host: Host, private readonly _options: MembershipOptions) {
		this._host = host;
	}

	/** The newest that is known of the host. */
	get host(): Host {
		return this._host;
	}

	/** Whether the host is passed over. */
	get isSuspected(): boolean {
		return this._suspectedAtMs !== undefined;
	}

	/** When a suspected host is to be asked again. */
	get retryAtMs(): number {
		return this._retryAtMs;
	}

	/** Takes in what a peer said about itself; true when it changes anything. */
	learn(reported: Host, nowMs: number): boolean {
		this._lastContactAtMs = nowMs;
		return this._merge(reported, nowMs);
	}

	/** Notes that the host was heard. */
	heard(nowMs: number): void {
		this._lastContactAtMs = nowMs;
	}

	/** Takes in what a read of the list showed; true when it changes anything. */
	applyListing(shown: Host | undefined, nowMs: number): boolean {
		if (shown) {
			this._missedReads = 0;
			return !this._isOutdated(shown, nowMs) && this._merge(shown, nowMs);
		}

		if (this._missedReads !== undefined) {
			this._missedReads++;
		}

		return false;
	}

	/** Whether there is still a reason to believe in the host: the list, or that it spoke not long ago. */
	isRetained(nowMs: number): boolean {
		const isListed = this._missedReads !== undefined && this._missedReads < this._options.missedReadsToDrop;
		return isListed || this._isWithinLag(this._lastContactAtMs, nowMs);
	}

	/** Notes that the host did not answer; true when it becomes suspected by that. */
	failed(nowMs: number): boolean {
		this._failures++;
		if (this._failures < this._options.failuresToSuspect) {
			return false;
		}

		const wasSuspected = this.isSuspected;
		this._suspectedAtMs = nowMs;
		if (!wasSuspected) {
			this._retryMs = this._options.firstRetryMs;
			this._retryAtMs = nowMs + this._retryMs;
		} else if (this._isRetryPending) {
			// One failed retry counts once, however many report it.
			this._isRetryPending = false;
			this._retryMs = Math.min(this._retryMs * 2, this._options.maximumRetryMs);
			this._retryAtMs = nowMs + this._retryMs;
		}

		return !wasSuspected;
	}

	/** Notes that the host is being asked again; without a report it is asked anew after a while. */
	recordRetry(nowMs: number): void {
		this._isRetryPending = true;
		this._retryAtMs = nowMs + this._retryMs;
	}

	/** Ends the suspicion; true when there was one. */
	clearSuspicion(): boolean {
		const wasSuspected = this.isSuspected;
		this._failures = 0;
		this._suspectedAtMs = undefined;
		return wasSuspected;
	}

	/** Whether the suspicion has not been confirmed for so long that it ends. */
	isSuspicionExpired(nowMs: number): boolean {
		return this._suspectedAtMs !== undefined && nowMs - this._suspectedAtMs >= this._options.maximumSuspicionMs;
	}

	private _merge(reported: Host, nowMs: number): boolean {
		const isNewIncarnation = reported.incarnation !== this._host.incarnation;
		if (isNewIncarnation) {
			this._previous = {incarnation: this._host.incarnation, replacedAtMs: nowMs};
			this.clearSuspicion();
		}

		// Who leaves does not come back but by a new start.
		const merged = {...reported, isLeaving: reported.isLeaving || (!isNewIncarnation && this._host.isLeaving)};
		const isChanged = !isSameHost(merged, this._host);
		this._host = merged;
		return isChanged;
	}

	/** Incarnations have no order; the host's own word is newer than a list that lags. */
	private _isOutdated(shown: Host, nowMs: number): boolean {
		if (shown.incarnation === this._host.incarnation) {
			return false;
		}

		const isPrevious = shown.incarnation === this._previous?.incarnation;
		return this._isWithinLag(this._lastContactAtMs, nowMs) || (isPrevious && this._isWithinLag(this._previous?.replacedAtMs, nowMs));
	}

	private _isWithinLag(atMs: number | undefined, nowMs: number): boolean {
		return atMs !== undefined && nowMs - atMs < this._options.listLagMs;
	}
}

function isSameHost(a: Host, b: Host): boolean {
	return a.incarnation === b.incarnation
		&& a.isLeaving === b.isLeaving
		&& a.peerHost === b.peerHost
		&& a.peerPort === b.peerPort
		&& a.operatorPort === b.operatorPort
		&& a.availabilityZone === b.availabilityZone
		&& a.region === b.region;
}
