/**
 * What this node knows of an endpoint over all of its homes: the service time and the share of failures
 * that they reported, and the statements that have no answer yet. Addresses endpoints that are slow or
 * fail: a node that kept this by home would try such an endpoint once more over each home.
 */
import type {LoadReport} from './load-report.js';

/** Age at which a reported service time and the own estimate have the same weight; it changes more slowly than the load. */
const halfLifeMs = 1500;

/** Largest share of failures that is counted, so that estimates stay finite. */
const countedFailedShare = 0.9;

/** A statement without an answer. */
export type SentStatement = {readonly atMs: number};

/** Experience with one endpoint. */
export class EndpointExperience {
	private _serviceMs = 0;
	private _failedShare = 0;
	private _reportedAtMs = Number.NEGATIVE_INFINITY;
	/** Statements without an answer, oldest first. */
	private readonly _inFlight = new Set<SentStatement>();

	note({serviceMs, failedShare}: Pick<LoadReport, 'serviceMs' | 'failedShare'>, nowMs: number): void {
		this._serviceMs = serviceMs;
		this._failedShare = Math.min(countedFailedShare, failedShare);
		this._reportedAtMs = nowMs;
	}

	noteSent(sent: SentStatement): void {
		this._inFlight.add(sent);
	}

	noteEnded(sent: SentStatement): void {
		this._inFlight.delete(sent);
	}

	/** Time in milliseconds since the oldest statement without an answer was sent: a new one will hardly be faster. */
	longestInFlightMs(nowMs: number): number {
		const [oldest] = this._inFlight;
		return oldest === undefined ? 0 : nowMs - oldest.atMs;
	}

	/** This node's own estimate, raised to the reported service time as long as the report counts. */
	lastingMs(ownMs: number, nowMs: number): number {
		const weight = this._weight(nowMs);
		return (weight * Math.max(ownMs, this._serviceMs)) + ((1 - weight) * ownMs);
	}

	/** Share of statements that are expected to fail. */
	failedShare(nowMs: number): number {
		return this._failedShare * this._weight(nowMs);
	}

	private _weight(nowMs: number): number {
		return 0.5 ** ((nowMs - this._reportedAtMs) / halfLifeMs);
	}
}
