/**
 * Expected time until a new statement is answered, from the newest load report of a home, what this
 * node has sent there since, and this node's own estimate. Addresses many nodes that place statements
 * at once: each sees only its own, so that they all choose the endpoint that is already loaded.
 *
 * A report loses weight with age, since the load that it states changes within a few service times.
 * Without a report the own estimate stands. A statement that has waited for long shows a slow or
 * hanging endpoint before any answer does. Failed statements count as attempts that are repeated.
 */
import type {EndpointExperience, SentStatement} from './endpoint-experience.js';
import type {LoadReport} from './load-report.js';

/** Age at which a report and the own estimate have the same weight. */
const halfLifeMs = 100;

/**
 * Cost in milliseconds of a failed attempt beside its time: a statement has few attempts, and is refused
 * after the last one. Half of what the shorter response-time goals allow.
 */
const failureCostMs = 100;

/**
 * Multiple of the expected time from which on a statement without an answer raises the estimate. With
 * any wait counted, nodes near the capacity of the endpoints moved together from one to the next.
 */
const silenceFactor = 3;

/** A statement that was sent to a home, and the number of reports that had arrived before. */
type SentToHome = SentStatement & {readonly afterReport: number};

/** Combines the reports of one home on one endpoint with this node's own knowledge. */
export class DatedLoadEstimate {
	private readonly _slots: number;
	private readonly _endpoint: EndpointExperience;
	private _waitsMs: readonly number[] = [];
	private _serviceMs = 0;
	private _reportedAtMs = Number.NEGATIVE_INFINITY;
	/** Number of reports so far; marks which statements a report cannot include. */
	private _reports = 0;
	private _sentSince = 0;

	/** Creates an estimate for an endpoint that runs `slots` statements at a time. */
	constructor(slots: number, endpoint: EndpointExperience) {
		this._slots = Math.max(1, slots);
		this._endpoint = endpoint;
	}

	note({waitsMs, serviceMs, failedShare}: Pick<LoadReport, 'waitsMs' | 'serviceMs' | 'failedShare'>, nowMs: number): void {
		this._waitsMs = waitsMs;
		this._serviceMs = serviceMs;
		this._reportedAtMs = nowMs;
		this._reports += 1;
		this._sentSince = 0;
		this._endpoint.note({serviceMs, failedShare}, nowMs);
	}

	/** Records that a statement is sent; the result is given to `noteEnded` when it has ended. */
	noteSent(nowMs: number): SentToHome {
		const sent = {atMs: nowMs, afterReport: this._reports};
		this._sentSince += 1;
		this._endpoint.noteSent(sent);
		return sent;
	}

	noteEnded(sent: SentToHome): void {
		this._endpoint.noteEnded(sent);
		this._sentSince -= sent.afterReport === this._reports ? 1 : 0;
	}

	/** Expected time in milliseconds until a new statement of a priority class is answered. */
	expectedMs(priority: number, ownMs: number, nowMs: number): number {
		const weight = this._reports === 0 ? 0 : 0.5 ** ((nowMs - this._reportedAtMs) / halfLifeMs);
		const sentSinceMs = this._sentSince * this._serviceMs / this._slots;
		const reportedMs = this._waitMs(priority) + sentSinceMs + this._serviceMs;
		const attemptMs = (weight * reportedMs) + ((1 - weight) * this._endpoint.lastingMs(ownMs, nowMs));
		const failedShare = this._endpoint.failedShare(nowMs);
		const expectedMs = (attemptMs / (1 - failedShare)) + (failedShare * failureCostMs);
		const longestInFlightMs = this._endpoint.longestInFlightMs(nowMs);
		return longestInFlightMs > silenceFactor * expectedMs ? longestInFlightMs : expectedMs;
	}

	/** The wait that a report states, if it is at most `maximumAgeMs` old; otherwise zero. */
	reportedWaitMs(priority: number, maximumAgeMs: number, nowMs: number): number {
		return nowMs - this._reportedAtMs <= maximumAgeMs ? this._waitMs(priority) : 0;
	}

	private _waitMs(priority: number): number {
		return this._waitsMs.at(Math.min(Math.max(0, priority), this._waitsMs.length - 1)) ?? 0;
	}
}
