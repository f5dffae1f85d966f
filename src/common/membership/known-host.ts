/**
 * What this node knows about one host.
 */
import type {Host} from '../services/services.js';
import type {MembershipOptions} from './constants.js';

/** One host of the directory: what it reported or the list shows, and whether it is reachable. */
export class KnownHost {
	private _host: Host;
	/** When there was last contact with the host itself; undefined if only the list has shown it. */
	private _lastContactAtMs: number | undefined;
	/** The incarnation before the current one, which a lagging list may still show. */
	private _previous: {readonly incarnation: string; readonly replacedAtMs: number} | undefined;
	/** Number of consecutive reads of the list that did not show the host; undefined if the list has never shown it. */
	private _missedReads: number | undefined;
	private _failures = 0;
	private _suspectedAtMs: number | undefined;
	private _retryAtMs = 0;
	private _retryMs = 0;
	private _isRetryPending = false;

	constructor(host: Host, private readonly _options: MembershipOptions) {
		this._host = host;
	}

	/** The newest known state of the host. */
	get host(): Host {
		return this._host;
	}

	/** Whether the host is suspected to be unreachable. */
	get isSuspected(): boolean {
		return this._suspectedAtMs !== undefined;
	}

	/** When a suspected host is to be tried again. */
	get retryAtMs(): number {
		return this._retryAtMs;
	}

	/** Applies what the host reported about itself; returns whether that changed anything. */
	learn(reported: Host, nowMs: number): boolean {
		this._lastContactAtMs = nowMs;
		return this._merge(reported, nowMs);
	}

	/** Records a contact with the host. */
	heard(nowMs: number): void {
		this._lastContactAtMs = nowMs;
	}

	/** Applies a read of the list, where `shown` is undefined if the host was not in it; returns whether that changed anything. */
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

	/** Whether the host is to be kept, because the list shows it or there was contact with it within the list's lag. */
	isRetained(nowMs: number): boolean {
		const isListed = this._missedReads !== undefined && this._missedReads < this._options.missedReadsToDrop;
		return isListed || this._isWithinLag(this._lastContactAtMs, nowMs);
	}

	/** Records that the host did not answer; returns whether it becomes suspected by that. */
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
			// A failed retry counts once, however many callers report it.
			this._isRetryPending = false;
			this._retryMs = Math.min(this._retryMs * 2, this._options.maximumRetryMs);
			this._retryAtMs = nowMs + this._retryMs;
		}

		return !wasSuspected;
	}

	/** Records that the host is being tried again; without a report it is tried once more after the same delay. */
	recordRetry(nowMs: number): void {
		this._isRetryPending = true;
		this._retryAtMs = nowMs + this._retryMs;
	}

	/** Ends the suspicion; returns whether there was one. */
	clearSuspicion(): boolean {
		const wasSuspected = this.isSuspected;
		this._failures = 0;
		this._suspectedAtMs = undefined;
		return wasSuspected;
	}

	/** Whether the suspicion has not been confirmed for so long that it expires. */
	isSuspicionExpired(nowMs: number): boolean {
		return this._suspectedAtMs !== undefined && nowMs - this._suspectedAtMs >= this._options.maximumSuspicionMs;
	}

	private _merge(reported: Host, nowMs: number): boolean {
		const isNewIncarnation = reported.incarnation !== this._host.incarnation;
		if (isNewIncarnation) {
			this._previous = {incarnation: this._host.incarnation, replacedAtMs: nowMs};
			this.clearSuspicion();
		}

		// A host that is leaving is available again only with a new incarnation.
		const merged = {...reported, isLeaving: reported.isLeaving || (!isNewIncarnation && this._host.isLeaving)};
		const isChanged = !isSameHost(merged, this._host);
		this._host = merged;
		return isChanged;
	}

	/**
	 * Whether the list shows an outdated incarnation. Incarnations have no order: what the host reported
	 * itself within the list's lag is newer than the list.
	 */
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
