/**
 * The slots of one endpoint and the queue of statements that wait for them.
 *
 * A statement that cannot be served before its deadline is refused on arrival, not when the
 * deadline has passed. Its wait is estimated as the service time of the work ahead of it,
 * divided by the number of slots.
 *
 * Where decisions under load are in effect, statements with a response-time goal are admitted and
 * ordered by it, and their refusals carry a place in the schedule of returns (`GoalPolicy`).
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {ErrorKind} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {toDisposable} from '../lifecycle/disposable.js';
import type {Event} from '../lifecycle/emitter.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {QueueState} from './goal-policy.js';
import {GoalPolicy} from './goal-policy.js';
import type {HomeContext, QueueLoad, SlotLane} from './types.js';
import type {WaitingStatement} from './statement-queue.js';
import {StatementQueue} from './statement-queue.js';

/** Request of a statement for a slot. */
export type SlotRequest = {
	readonly caller: string;
	readonly priority: number;
	readonly lane: SlotLane;
	readonly timeLeftMs: number;
	/** When the response-time goal of the caller ends; undefined without one. */
	readonly goalAtMs?: number;
};

/** The right to run one statement; disposing it frees the slot. */
export type SlotGrant = Disposable & {
	readonly queuedMs: number;
};

type QueuedStatement = WaitingStatement & {
	readonly deadlineMs: number;
	readonly answer: (result: Either<Refusal, SlotGrant>) => void;
};

/** How a statement was admitted. */
type Admitted = Required<Pick<WaitingStatement, 'isExpectedLate'>>;

type QueueContext = Pick<HomeContext, 'clock' | 'random' | 'metrics' | 'invariants' | 'options'> & {
	/** Decisions under load; undefined for a queue without goals. */
	readonly load?: QueueLoad;
};

/** Lets exactly `slots` statements run at a time. */
export class SlotQueue {
	private readonly _context: QueueContext;
	private readonly _endpoint: string;
	private readonly _mayBegin: (beginsRunning: number) => boolean;
	private readonly _queue: StatementQueue<QueuedStatement>;
	private readonly _goals: GoalPolicy | undefined;
	/** Average service time of each lane in milliseconds; zero until a statement of the lane has ended. */
	private readonly _serviceMs: Record<SlotLane, number> = {
		transaction: 0, begin: 0, read: 0, write: 0,
	};

	private _slots: number;
	private _running = 0;
	/** Sequence numbers of the grants that are in use, oldest first. */
	private readonly _grants = new Set<number>();
	private _grantCount = 0;
	private _beginsRunning = 0;
	private readonly _onFreed = new Emitter<void>();

	/** `mayBegin` tells whether one more transaction may begin, given how many statements that begin one are running. */
	constructor(context: QueueContext, endpoint: string, slots: number, mayBegin: (beginsRunning: number) => boolean) {
		this._context = context;
		this._endpoint = endpoint;
		this._slots = slots;
		this._mayBegin = mayBegin;
		this._queue = new StatementQueue(context.options);
		this._goals = context.load && new GoalPolicy({...context, load: context.load}, endpoint);
	}

	/** Fires when a slot has become free. */
	get onFreed(): Event<void> {
		return this._onFreed.event;
	}

	/** Number of statements that run. */
	get running(): number {
		return this._running;
	}

	/** Number of running statements that begin a transaction. */
	get beginsRunning(): number {
		return this._beginsRunning;
	}

	/** Sequence number of the newest grant. */
	get newestGrant(): number {
		return this._grantCount;
	}

	/** Whether any statement still runs whose grant has this sequence number or a lower one. */
	isRunningUpTo(grant: number): boolean {
		const [oldest] = this._grants;
		return oldest !== undefined && oldest <= grant;
	}

	/** Number of statements that wait. */
	get length(): number {
		return this._queue.length;
	}

	/** Sets the number of slots after the endpoint's definition changed. */
	setSlots(slots: number): void {
		this._slots = slots;
		this.serve();
	}

	/** Waits for a slot until the deadline passes or the signal aborts; refuses at once a statement that cannot be served in time. */
	async acquire(request: SlotRequest, signal?: AbortSignal): Promise<Either<Refusal, SlotGrant>> {
		const entry = signal?.aborted ? new Refusal('cancelled') : this._enter(request);
		if (entry instanceof Refusal) {
			return Left(entry);
		}

		return this._mayStartNow(request.lane) ? Right(this._startNow(request)) : this._wait(request, entry, signal);
	}

	/** Refuses all waiting statements that belong to no open transaction. */
	refuseNewWork(makeRefusal: () => Refusal): void {
		for (const item of this._queue.newWork()) {
			this._refuse(item, makeRefusal());
		}
	}

	/** Refuses all waiting statements that write or begin a transaction and belong to no open one. */
	refuseWrites(makeRefusal: () => Refusal): void {
		for (const item of this._queue.newWork().filter(({lane}) => lane !== 'read')) {
			this._refuse(item, makeRefusal());
		}
	}

	/** Grants free slots to the waiting statements that may run; called whenever slots or `mayBegin` may have changed. */
	serve(): void {
		while (this._running < this._slots) {
			const item = this._queue.take(
				this._context.clock.nowMs(),
				lane => lane !== 'begin' || this._mayBegin(this._beginsRunning),
				lane => this._serviceMs[lane],
				this._goals?.orderInClass,
			);
			if (!item) {
				break;
			}

			item.answer(this._isTooLate(item) ? Left(this._refusal('deadlineUnreachable', item)) : Right(this._grant(item, this._serviceMs[item.lane])));
		}

		this._reportGauges();
	}

	/** Time in milliseconds until a statement that enters now would get a slot. */
	estimateWaitMs(item: Pick<WaitingStatement, 'caller' | 'priority' | 'lane'>): number {
		// While a slot is free, only statements that begin a transaction wait, for `mayBegin` rather than for a slot.
		if (this._running < this._slots) {
			return 0;
		}

		const expectedMs = (lane: SlotLane): number => this._serviceMs[lane];
		const aheadMs = this._queue.workAheadMs({...item, enteredAtMs: 0}, expectedMs);
		// Running statements are on average half done.
		const runningMs = this._running * this._serviceMs[item.lane] / 2;
		return (aheadMs + runningMs) / Math.max(1, this._slots);
	}

	/**
	 * Whether a statement may start without waiting. While a slot is free, only statements that begin
	 * a transaction wait, so a statement of another lane takes the slot from none of them.
	 */
	private _mayStartNow(lane: SlotLane): boolean {
		return this._running < this._slots && (lane !== 'begin' || (this._queue.length === 0 && this._mayBegin(this._beginsRunning)));
	}

	/** Grants a slot without the timer, the listener and the promise that waiting needs. */
	private _startNow(request: SlotRequest): SlotGrant {
		const {caller, priority, lane, goalAtMs} = request;
		const grant = this._grant({
			caller, priority, lane, goalAtMs, enteredAtMs: this._context.clock.nowMs(),
		}, 0);
		this._reportGauges();
		return grant;
	}

	private async _wait(request: SlotRequest, {isExpectedLate}: Admitted, signal?: AbortSignal): Promise<Either<Refusal, SlotGrant>> {
		const {clock} = this._context;
		const subscriptions: Disposable[] = [];
		const result = await new Promise<Either<Refusal, SlotGrant>>(resolve => {
			const item: QueuedStatement = {
				caller: request.caller,
				priority: request.priority,
				lane: request.lane,
				goalAtMs: request.goalAtMs,
				isExpectedLate,
				enteredAtMs: clock.nowMs(),
				deadlineMs: clock.nowMs() + request.timeLeftMs,
				answer: resolve,
			};
			const onAbort = (): void => {
				this._refuse(item, new Refusal('cancelled'));
			};

			signal?.addEventListener('abort', onAbort, {once: true});
			subscriptions.push(
				clock.setTimer(request.timeLeftMs, () => {
					this._refuse(item, this._refusal('deadlineExceeded', item));
				}),
				toDisposable(() => {
					signal?.removeEventListener('abort', onAbort);
				}),
			);
			this._queue.add(item);
			this.serve();
		});
		for (const subscription of subscriptions) {
			subscription.dispose();
		}

		return result;
	}

	/** Admits a statement, or returns its refusal. */
	private _enter(request: SlotRequest): Refusal | Admitted {
		if (request.timeLeftMs <= 0) {
			return this._refusal('deadlineExceeded', request);
		}

		// An open transaction holds locks, so its statements are always admitted; the number of open transactions bounds them.
		if (request.lane === 'transaction') {
			return {isExpectedLate: false};
		}

		if (this._goals?.governs(request) && this._running >= this._slots) {
			const {outcome} = this._goals.decide(request, this._state);
			const refusal = outcome === 'refused' ? this._refusal('deadlineUnreachable', request) : this._refusalForLength(request);
			return refusal ?? {isExpectedLate: outcome === 'late'};
		}

		return this._refusalForWait(request) ?? this._refusalForLength(request) ?? {isExpectedLate: false};
	}

	private _refusalForWait(request: SlotRequest): Refusal | undefined {
		const waitMs = this.estimateWaitMs(request);
		if (waitMs > 0 && waitMs + this._serviceMs[request.lane] > request.timeLeftMs) {
			return this._refusal('deadlineUnreachable', request);
		}

		return waitMs > this._context.options.maximumQueueWaitMs ? this._refusal('overloaded', request) : undefined;
	}

	private _refusalForLength(request: SlotRequest): Refusal | undefined {
		return this._queue.length < this._context.options.queueLength ? undefined : this._evictFor(request);
	}

	/**
	 * Makes room in a full queue for a new statement by refusing the newest statement of the caller
	 * that has the most waiting in the least urgent class. Returns a refusal of the new statement if
	 * it is that one itself.
	 */
	private _evictFor(request: SlotRequest): Refusal | undefined {
		const victim = this._queue.evictionCandidate({...request, enteredAtMs: 0});
		if (!victim) {
			return this._refusal('overloaded', request);
		}

		this._refuse(victim, this._refusal('overloaded', victim));
		return undefined;
	}

	/** Whether a statement has waited so long that it would probably not end before its deadline. */
	private _isTooLate(item: QueuedStatement): boolean {
		const timeLeftMs = item.deadlineMs - this._context.clock.nowMs();
		return timeLeftMs < this._serviceMs[item.lane] * this._context.options.leastServiceShare && item.lane !== 'transaction';
	}

	private _refuse(item: QueuedStatement, refusal: Refusal): void {
		if (this._queue.remove(item)) {
			item.answer(Left(refusal));
			this._reportGauges();
		}
	}

	/** Occupies a slot; `chargedMs` is the service time that the caller's share was charged when the statement left the queue. */
	private _grant(item: WaitingStatement, chargedMs: number): SlotGrant {
		const {clock, metrics, invariants} = this._context;
		const startedAtMs = clock.nowMs();
		const queuedMs = startedAtMs - item.enteredAtMs;
		const beginCount = item.lane === 'begin' ? 1 : 0;
		this._running += 1;
		this._grantCount += 1;
		const grantNumber = this._grantCount;
		this._grants.add(grantNumber);
		this._beginsRunning += beginCount;
		invariants.check('slotLimit', this._running <= this._slots, () => `${this._endpoint} runs ${this._running} statements`);
		metrics.observe('homeQueueTimeMs', queuedMs, {endpoint: this._endpoint, lane: item.lane});
		const release = toDisposable(() => {
			const serviceMs = clock.nowMs() - startedAtMs;
			this._running -= 1;
			this._grants.delete(grantNumber);
			this._beginsRunning -= beginCount;
			this._learnServiceTime(item.lane, serviceMs);
			this._goals?.noteEnd(item, serviceMs);
			this._queue.correctCharge(item, serviceMs - chargedMs);
			this.serve();
			this._onFreed.fire();
		});
		return {
			queuedMs,
			dispose() {
				release.dispose();
			},
		};
	}

	private _learnServiceTime(lane: SlotLane, serviceMs: number): void {
		const {serviceTimeWeight: weight} = this._context.options;
		const averageMs = this._serviceMs[lane];
		this._serviceMs[lane] = averageMs === 0 ? serviceMs : (averageMs * (1 - weight)) + (serviceMs * weight);
	}

	/**
	 * Builds a refusal. Its retry delay is the caller's place in the schedule of returns if there is
	 * one, and otherwise the estimated wait, with jitter; both within the configured bounds.
	 */
	private _refusal(kind: ErrorKind, item: SlotRequest | QueuedStatement): Refusal {
		const {random, options} = this._context;
		const waitMs = this.estimateWaitMs(item);
		const scheduledMs = kind === 'deadlineExceeded' ? undefined : this._goals?.returnAfterMs(item, this._state);
		const spreadMs = scheduledMs ?? waitMs * (0.75 + (random.next() / 2));
		const boundedMs = Math.min(options.retryAfterMaximumMs, Math.max(options.retryAfterMinimumMs, spreadMs));
		return new Refusal(kind, `about ${Math.ceil(waitMs)} ms of work ahead at ${this._endpoint}`, {retryAfterMs: Math.ceil(boundedMs)});
	}

	private get _state(): QueueState<QueuedStatement> {
		return {
			queue: this._queue, slots: this._slots, running: this._running, serviceMs: lane => this._serviceMs[lane],
		};
	}

	private _reportGauges(): void {
		const {metrics} = this._context;
		metrics.gauge('homeSlotsInUse', this._running, {endpoint: this._endpoint});
		metrics.gauge('homeQueueLength', this._queue.length, {endpoint: this._endpoint});
	}
}
