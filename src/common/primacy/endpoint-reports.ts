/**
 * What the endpoints of one group said of themselves since their last start.
 *
 * An endpoint may start again under its id, and then holds and knows nothing of before: what
 * it had received confirms no write, what it had applied serves no read, and a fence that it
 * was given is forgotten. Within a term positions only go up, so one that went down shows such
 * a start even where the registration does not say so yet.
 */
import type {ReportedStatus} from '../pools/types.js';
import type {LogPosition} from '../positions/log-position.js';
import {laterPosition} from '../positions/log-position.js';
import type {Clock} from '../services/services.js';

/** Position that an endpoint's reads were known to include at some time. */
export type AppliedPosition = {
	readonly position: LogPosition;
	readonly atMs: number;
};

type EndpointKnowledge = {
	report?: {readonly reported: ReportedStatus; readonly atMs: number};
	applied?: AppliedPosition;
	/** Starts and returns that were noticed. */
	returnCount: number;
	/** Whether a promotion may have begun since the last one without fencing it. */
	mayHaveMissedFence: boolean;
};

/** Reports by endpoint. */
export class EndpointReports {
	private readonly _clock: Clock;
	private readonly _known = new Map<string, EndpointKnowledge>();

	constructor(clock: Clock) {
		this._clock = clock;
	}

	/** What an endpoint last reported. */
	status(endpointId: string): ReportedStatus | undefined {
		return this._known.get(endpointId)?.report?.reported;
	}

	/** Position that an endpoint's reads are known to include. */
	applied(endpointId: string): AppliedPosition | undefined {
		return this._known.get(endpointId)?.applied;
	}

	/** Whether an endpoint's last state, if it had arrived at a time, shows more of a term than a position. */
	isAhead(endpointId: string, position: LogPosition, term: number, momentMs: number): boolean {
		const report = this._known.get(endpointId)?.report;
		return report !== undefined && report.atMs <= momentMs && report.reported.status.term === term
			&& isLostPosition(position, report.reported.status.received, term);
	}

	/** Whether its word may prove a term: it has not missed a fence. */
	mayProve(endpointId: string): boolean {
		return this._known.get(endpointId)?.mayHaveMissedFence !== true;
	}

	/** Counts the returns of an endpoint, so that a look that began before the last one clears nothing. */
	returnCount(endpointId: string): number {
		return this._known.get(endpointId)?.returnCount ?? 0;
	}

	/** No promotion has begun without the endpoint: its word counts again, unless it returned once more. */
	clearMissedFence(endpointId: string, returnCount: number): void {
		const known = this._known.get(endpointId);
		if (known?.returnCount === returnCount) {
			known.mayHaveMissedFence = false;
		}
	}

	/** Takes in a state; resolves to whether the endpoint has started again since the last one. */
	noteStatus(endpointId: string, reported: ReportedStatus): boolean {
		const known = this._knowledge(endpointId);
		const before = known.report;
		const hasRestarted = before !== undefined && reported.sentAtMs > before.atMs
			&& reported.status.term === before.reported.status.term
			&& isLostPosition(reported.status.received, before.reported.status.received, reported.status.term);
		if (hasRestarted) {
			this.forget(endpointId);
		}

		this._knowledge(endpointId).report = {reported, atMs: this._clock.nowMs()};
		return hasRestarted;
	}

	/** Takes in the position that an answer carried; resolves to whether the endpoint has started again since. */
	noteApplied(endpointId: string, position: LogPosition, sentAtMs: number): boolean {
		const before = this._knowledge(endpointId).applied;
		const hasRestarted = before !== undefined && sentAtMs > before.atMs
			&& isLostPosition(position, before.position, position.term);
		if (hasRestarted) {
			this.forget(endpointId);
		}

		const known = this._knowledge(endpointId);
		known.applied = {
			position: known.applied ? laterPosition(known.applied.position, position) : position,
			atMs: this._clock.nowMs(),
		};
		return hasRestarted;
	}

	/** An endpoint started again, or came back: nothing of before counts. */
	forget(endpointId: string): void {
		this._known.set(endpointId, {returnCount: this.returnCount(endpointId) + 1, mayHaveMissedFence: true});
	}

	/** Positions count anew: those of a term that ended may have been rolled back. */
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

/** Whether an endpoint says something else of its role than before, or says it for the first time. */
export function hasRoleChanged(before: ReportedStatus | undefined, {status}: ReportedStatus): boolean {
	return before?.status.isPrimary !== status.isPrimary || before.status.term !== status.term
		|| before.status.fencedForTerm !== status.fencedForTerm;
}

/** Whether a log that held a position of a term holds it no more; entries of earlier terms may be rolled back. */
function isLostPosition(now: LogPosition, before: LogPosition, term: number): boolean {
	return before.term === term && (now.term < term || (now.term === term && now.offset < before.offset));
}
