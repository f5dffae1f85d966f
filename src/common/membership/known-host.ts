/**
 * What is known about one host.
 */
import type {Host} from '../services/services.js';
import type {MembershipOptions} from './constants.js';

/**
 * Orders two incarnations of a host. Incarnations of one name grow with each start; the
 * longer one is later, and of equally long ones the one that sorts after.
 */
export function compareIncarnations(a: string, b: string): number {
	return a.length - b.length || (a < b ? -1 : Number(a > b));
}

/** One host of the directory: what it said, where that came from, and whether it answers. */
export class KnownHost {
	/** When the host itself, or a peer about it, was last heard. */
	heardAtMs: number | undefined;
	/** Whether the list showed the host when it was last read. */
	isListed = false;
	/** When a suspected host is to be tried again. */
	retryAtMs = 0;

	private _host: Host;
	private _failures = 0;
	private _retryMs = 0;
	private _suspectedAtMs: number | undefined;

	constructor(host: Host) {
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

	/** Takes in what was said; true when it changes anything. A newer incarnation starts afresh. */
	merge(said: Host): boolean {
		const order = compareIncarnations(said.incarnation, this._host.incarnation);
		if (order < 0) {
			return false;
		}

		// Who leaves does not come back but by a new start.
		const isLeaving = said.isLeaving || (order === 0 && this._host.isLeaving);
		const merged = {...said, isLeaving};
		const hadSuspicion = order > 0 && this.clearSuspicion();
		if (!hadSuspicion && isSameHost(merged, this._host)) {
			return false;
		}

		this._host = merged;
		return true;
	}

	/** Notes that the host did not answer; true when it becomes suspected by that. */
	failed(nowMs: number, options: MembershipOptions): boolean {
		this._failures++;
		if (this._failures < options.failuresToSuspect) {
			return false;
		}

		const wasSuspected = this.isSuspected;
		this._retryMs = wasSuspected ? Math.min(this._retryMs * 2, options.maximumRetryMs) : options.firstRetryMs;
		this._suspectedAtMs = nowMs;
		this.retryAtMs = nowMs + this._retryMs;
		return !wasSuspected;
	}

	/** Sets the next retry of a host that was not reported on since the last one. */
	postponeRetry(nowMs: number): void {
		this.retryAtMs = nowMs + this._retryMs;
	}

	/** Ends the suspicion; true when there was one. */
	clearSuspicion(): boolean {
		const wasSuspected = this.isSuspected;
		this._failures = 0;
		this._suspectedAtMs = undefined;
		return wasSuspected;
	}

	/** Whether the suspicion has not been confirmed for so long that it ends. */
	isSuspicionOver(nowMs: number, options: MembershipOptions): boolean {
		return this._suspectedAtMs !== undefined && nowMs - this._suspectedAtMs >= options.maximumSuspicionMs;
	}

	/** Whether there is still a reason to believe in the host. */
	isKept(nowMs: number, options: MembershipOptions): boolean {
		return this.isListed || (this.heardAtMs !== undefined && nowMs - this.heardAtMs < options.unlistedKeepMs);
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
