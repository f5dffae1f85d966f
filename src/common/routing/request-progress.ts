/**
 * One routed request while it is in progress: what it has left and what it has tried.
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
	/** Last refusal, the answer when nothing else is left to try. */
	lastRefusal: Refusal | undefined;
	/** Whether an attempt ended without its being known that nothing ran. */
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

	/** Whether part of an answer has gone to the caller, after which nothing may be repeated. */
	get hasPushed(): boolean {
		return this._hasPushed;
	}

	/** Largest age of the data that this request accepts. */
	get maximumAgeMs(): number | undefined {
		const {maximumAgeMs: sessionLimitMs} = this.session;
		const {maximumAgeMs: policyLimitMs} = this.policy;
		if (sessionLimitMs === undefined || policyLimitMs === undefined) {
			return sessionLimitMs ?? policyLimitMs;
		}

		return Math.min(sessionLimitMs, policyLimitMs);
	}

	/**
	 * Whether the answer must be proved fresh after the request came: a caller without a
	 * complete token may have written elsewhere and states no age that it accepts.
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

/** Where one attempt goes. */
export type Target = {
	readonly endpoint: EndpointDefinition;
	/** Why it goes there; a label of the routing metric. */
	readonly reason: PrimaryReason | ReplicaReason | 'transaction';
	readonly isPrimary: boolean;
};
