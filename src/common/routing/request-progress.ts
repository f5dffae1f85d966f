/**
 * State of one routed request while it is in progress: its limits and the attempts made so far.
 */
import type {Refusal} from '../errors/error-kinds.js';
import type {LogPosition} from '../positions/log-position.js';
import type {
	AnswerSink, CallerPolicy, EndpointDefinition, RequestCycle, RoutedSession,
} from '../services/services.js';
import type {PrimaryReason, ReplicaReason} from './replica-ranking.js';

/** State of one request over all of its attempts. */
export class RequestProgress implements AnswerSink {
	readonly session: RoutedSession;
	readonly cycle: RequestCycle;
	readonly policy: CallerPolicy;
	readonly deadlineAtMs: number;
	readonly signal: AbortSignal;
	/** Endpoints that refused this request. */
	readonly refusedBy = new Set<string>();
	/** Last refusal; it is the answer when no target is left to try. */
	lastRefusal: Refusal | undefined;
	/** Whether an attempt ended and it is not certain that nothing ran. */
	mayHaveRun = false;
	retryCount = 0;
	detourCount = 0;
	private readonly _sink: AnswerSink;
	private _hasPushed = false;

	constructor(
		request: {session: RoutedSession; cycle: RequestCycle; sink: AnswerSink; signal: AbortSignal},
		policy: CallerPolicy,
		deadlineAtMs: number,
	) {
		this.session = request.session;
		this.cycle = request.cycle;
		this.signal = request.signal;
		this._sink = request.sink;
		this.policy = policy;
		this.deadlineAtMs = deadlineAtMs;
	}

	/** Whether part of an answer was sent to the caller; after that the request must not be retried. */
	get hasPushed(): boolean {
		return this._hasPushed;
	}

	/** Maximum staleness that this request accepts, the stricter limit of session and policy; undefined when neither has one. */
	get maximumAgeMs(): number | undefined {
		const {maximumAgeMs: sessionLimitMs} = this.session;
		const {maximumAgeMs: policyLimitMs} = this.policy;
		if (sessionLimitMs === undefined || policyLimitMs === undefined) {
			return sessionLimitMs ?? policyLimitMs;
		}

		return Math.min(sessionLimitMs, policyLimitMs);
	}

	/**
	 * Whether the answer's freshness must be proved after the request arrived: a caller without
	 * a complete token may have written through another connection, and states no staleness
	 * that it accepts.
	 */
	get needsProof(): boolean {
		const {session, cycle} = this;
		return cycle.access === 'read' && !session.marks.isComplete && this.maximumAgeMs === undefined;
	}

	/** Position that the answer must include. */
	get minimumPosition(): LogPosition {
		return this.session.marks.mark(this.session.group);
	}

	push(frames: Uint8Array): void | Promise<void> {
		this._hasPushed = true;
		return this._sink.push(frames);
	}
}

/** The endpoint that one attempt is sent to. */
export type Target = {
	readonly endpoint: EndpointDefinition;
	/** Why the endpoint was chosen; a label of the routing metric. */
	readonly reason: PrimaryReason | ReplicaReason | 'transaction';
	readonly isPrimary: boolean;
};
