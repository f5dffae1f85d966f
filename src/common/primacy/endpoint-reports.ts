/**
 * What the endpoints of one group have reported since their last start.
 *
 * An endpoint may restart under the same id, and then has lost its state: what it had received
 * confirms no write, what it had applied serves no read, and a fence that it was given is lost.
 * Within a term positions only increase, so a position that decreased shows a restart even where the
 * registration does not show it yet.
 */
import type {ReportedStatus} from '../pools/types.js';
import type {LogPosition} from '../positions/log-position.js';
import {laterPosition} from '../positions/log-position.js';
import type {Clock} from '../services/services.js';

/** Position that an endpoint's reads are known to include, and when this was learned. */
export type AppliedPosition = {
	readonly position: LogPosition;
	readonly atMs: number;
};

type EndpointKnowledge = {
	report?: {readonly reported: ReportedStatus; readonly atMs: number};
	applied?: AppliedPosition;
	/** Number of restarts and returns that were observed. */
	returnCount: number;
	/** Whether a promotion may have begun without fencing the endpoint since its last restart or return. */
	mayHaveMissedFence: boolean;
};

/** Keeps the latest reports by endpoint. */
export class EndpointReports {
	private readonly _clock: Clock;
	private readonly _known = new Map<string, EndpointKnowledge>();

	constructor(clock: Clock) {
		this._clock = clock;
	}

	/** Returns the last status that an endpoint reported; undefined without one since its last restart. */
	status(endpointId: string): ReportedStatus | undefined {
		return this._known.get(endpointId)?.report?.reported;
	}

	/** Returns the position that an endpoint's reads are known to include; undefined if none is known. */
	applied(endpointId: string): AppliedPosition | undefined {
		return this._known.get(endpointId)?.applied;
	}

	/**
	 * Returns whether an endpoint's last status, if received by the given time, shows a log of the
	 * term that extends beyond the position.
	 */
	isAhead(endpointId: string, position: LogPosition, term: number, momentMs: number): boolean {
		const report = this._known.get(endpointId)?.report;
		return report !== undefined && report.atMs <= momentMs && report.reported.status.term === term
			&& isLostPosition(position, report.reported.status.received, term);
	}

	/** Returns whether an endpoint's status may prove a term, which requires that it cannot have missed a fence. */
	mayProve(endpointId: string): boolean {
		return this._known.get(endpointId)?.mayHaveMissedFence !== true;
	}

	/**
	 * Returns how often an endpoint has restarted or returned, so that a check that began before the
	 * last time clears nothing.
	 */
	returnCount(endpointId: string): number {
		return this._known.get(endpointId)?.returnCount ?? 0;
	}

	/**
	 * Accepts an endpoint's proofs again, since no promotion has begun without fencing it; does
	 * nothing if it has returned again.
	 */
	clearMissedFence(endpointId: string, returnCount: number): void {
		const known = this._known.get(endpointId);
		if (known?.returnCount === returnCount) {
			known.mayHaveMissedFence = false;
		}
	}

	/** Records a status and returns whether it shows that the endpoint has restarted since the last one. */
	noteStatus(endpointId: string, reported: ReportedStatus): boolean {
		const known = this._knowledge(endpointId);
		const before = known.report;
		const hasRestarted = before !== undefined && reported.sentAtMs > before.atMs
			&& reported.status.term === before.reported.status.term
			&& isLostPosition(reported.status.received, before.reported.status.received, reported.status.term);
		if (hasRestarted) {
			this.reset(endpointId);
		}

		this._knowledge(endpointId).report = {reported, atMs: this._clock.nowMs()};
		return hasRestarted;
	}

	/** Records the position that a response carried and returns whether it shows a restart of the endpoint. */
	noteApplied(endpointId: string, position: LogPosition, sentAtMs: number): boolean {
		const before = this._knowledge(endpointId).applied;
		const hasRestarted = before !== undefined && sentAtMs > before.atMs
			&& isLostPosition(position, before.position, position.term);
		if (hasRestarted) {
			this.reset(endpointId);
		}

		const known = this._knowledge(endpointId);
		known.applied = {
			position: known.applied ? laterPosition(known.applied.position, position) : position,
			atMs: this._clock.nowMs(),
		};
		return hasRestarted;
	}

	/** Discards everything known of an endpoint that restarted or whose registration returned. */
	reset(endpointId: string): void {
		this._known.set(endpointId, {returnCount: this.returnCount(endpointId) + 1, mayHaveMissedFence: true});
	}

	/** Discards all applied positions: those of a term that ended may have been rolled back. */
	clearApplied(): void {
		for (const known of this._known.values()) {
			known.applied = undefined;
		}
	}

	private _knowledge(endpointId: string): EndpointKnowledge {
		let known = this._known.get(endpointId);
		if (!known) {
			known = {returnCount: 0, mayHaveMissedFence: false};
			this._known.set(endpointId, known);
		}

		return known;
	}
}

/** Returns whether a status reports another role, term or fence than the previous one, or is the first. */
export function hasRoleChanged(before: ReportedStatus | undefined, {status}: ReportedStatus): boolean {
	return before?.status.isPrimary !== status.isPrimary || before.status.term !== status.term
		|| before.status.fencedForTerm !== status.fencedForTerm;
}

/** Whether a log that held a position of a term no longer holds it; entries of earlier terms may be rolled back. */
function isLostPosition(now: LogPosition, before: LogPosition, term: number): boolean {
	return before.term === term && (now.term < term || (now.term === term && now.offset < before.offset));
}
