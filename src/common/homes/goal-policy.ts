/**
 * Applies the decisions under load to the queue of one endpoint: order and admission by goal, and
 * the return times of refused callers.
 */
import {ClassUsage} from '../load/class-usage.js';
import type {AdmissionDecision} from '../load/goal-admission.js';
import {GoalAdmission} from '../load/goal-admission.js';
import {GoalOrder} from '../load/goal-order.js';
import {ReturnSchedule} from '../load/return-schedule.js';
import type {
	OrderInClass, StatementQueue, WaitingStatement, WorkAhead,
} from './statement-queue.js';
import type {HomeContext, QueueLoad, SlotLane} from './types.js';

/** State of a queue on which a decision depends. */
export type QueueState<T extends WaitingStatement> = {
	readonly queue: StatementQueue<T>;
	readonly slots: number;
	readonly running: number;
	/** Average service time of a lane over all classes; zero until a statement of the lane has ended. */
	readonly serviceMs: (lane: SlotLane) => number;
};

/** A statement that arrives, with the time left until its deadline, or one that waits. */
type DecidedStatement = Pick<WaitingStatement, 'caller' | 'priority' | 'lane' | 'goalAtMs' | 'deadlineMs'> & {
	readonly timeLeftMs?: number;
	readonly enteredAtMs?: number;
};

type PolicyContext = Pick<HomeContext, 'clock' | 'random' | 'metrics'> & {readonly load: QueueLoad};

/** Statements that the begin of a transaction brings with it at least: one, and its COMMIT. */
const statementsAfterBegin = 2;

/** Decisions under load for one endpoint. */
export class GoalPolicy {
	private readonly _context: PolicyContext;
	private readonly _endpoint: string;
	private readonly _usage: ClassUsage;
	private readonly _order: GoalOrder;
	private readonly _admission: GoalAdmission;
	private readonly _schedule: ReturnSchedule;
	private readonly _orderInClass: OrderInClass;
	private _loggedAtMs = Number.NEGATIVE_INFINITY;
	/** Statements refused since the last log event. */
	private _refused = 0;

	constructor(context: PolicyContext, endpoint: string) {
		const {options, order} = context.load;
		this._context = context;
		this._endpoint = endpoint;
		this._usage = new ClassUsage(options);
		this._order = new GoalOrder(options);
		this._admission = new GoalAdmission(options);
		this._schedule = new ReturnSchedule(options);
		this._orderInClass = {order: order ?? this._order, expectedMs: item => this._expectedMs(item), ageingInterval: options.lateInterval};
	}

	/** The order within priority classes; undefined while it is not in effect. */
	get orderInClass(): OrderInClass | undefined {
		return this._context.load.isAdmissionByGoal() ? this._orderInClass : undefined;
	}

	/** Whether a statement is admitted by its goal at this moment. */
	governs({goalAtMs}: Pick<WaitingStatement, 'goalAtMs'>): boolean {
		return goalAtMs !== undefined && this._context.load.isAdmissionByGoal();
	}

	/** Decides on the admission of a statement that finds no free slot. */
	decide<T extends WaitingStatement>(statement: DecidedStatement, state: QueueState<T>): AdmissionDecision {
		const {clock, metrics} = this._context;
		const nowMs = clock.nowMs();
		const ahead = this._workAhead(statement, state);
		const deadlineMs = statement.deadlineMs ?? nowMs + statement.timeLeftMs!;
		const decision = this._admission.decide({
			nowMs,
			deadlineMs,
			goalAtMs: statement.goalAtMs ?? deadlineMs,
			expectedMs: this._expectedMs(statement),
			onTimeAheadMs: ahead.onTimeMs,
			lateAheadMs: ahead.lateMs,
			slots: state.slots,
			urgentShare: this._usage.urgentShare(statement.priority, state.slots, nowMs),
			leastShare: this._leastShare,
		});
		metrics.count('goalDecisionsTotal', {endpoint: this._endpoint, priority: String(statement.priority), outcome: decision.outcome});
		if (decision.outcome === 'refused') {
			this._logRefusal(statement, state, decision);
		}

		return decision;
	}

	/** Return time in milliseconds of a caller that is refused; undefined if none is scheduled. */
	returnAfterMs<T extends WaitingStatement>(statement: DecidedStatement, state: QueueState<T>): number | undefined {
		const {clock, random, load, metrics} = this._context;
		if (statement.goalAtMs === undefined || !load.isReturnScheduled()) {
			return undefined;
		}

		const nowMs = clock.nowMs();
		const timeLeftMs = statement.timeLeftMs ?? (statement.deadlineMs ?? Number.POSITIVE_INFINITY) - nowMs;
		const perMs = state.slots * Math.max(this._leastShare, 1 - this._usage.urgentShare(statement.priority, state.slots, nowMs));
		const expectedMs = this._expectedMs(statement);
		// The returning statement has its whole goal again.
		const goalMs = statement.goalAtMs - (statement.enteredAtMs ?? nowMs);
		const roomInMs = (this._workAhead(statement, state).onTimeMs / perMs) + (expectedMs * load.options.workMargin) - goalMs;
		const afterMs = this._schedule.returnAfterMs({
			nowMs, timeLeftMs, priority: statement.priority, roomInMs: Math.max(0, roomInMs), spacingMs: expectedMs / perMs, random: random.next(),
		});
		metrics.observe('returnAfterMs', afterMs, {cause: 'queue'});
		return afterMs;
	}

	/** Records that a statement has ended. */
	noteEnd({priority, lane}: WaitingStatement, serviceMs: number): void {
		this._usage.note(priority, lane, serviceMs, this._context.clock.nowMs());
	}

	/** Share of the slots that the ageing of the queue gives to late statements. */
	private get _leastShare(): number {
		return 1 / this._context.load.options.lateInterval;
	}

	private _workAhead<T extends WaitingStatement>(statement: DecidedStatement, {queue, running, serviceMs}: QueueState<T>): WorkAhead {
		const nowMs = this._context.clock.nowMs();
		const {onTimeMs, lateMs} = queue.goalWorkAhead(
			{...statement, enteredAtMs: nowMs},
			waiting => !waiting.isExpectedLate && goalAtMsOf(waiting) <= goalAtMsOf(statement) && this._order.isOnTime({goalAtMs: goalAtMsOf(waiting), expectedMs: this._expectedMs(waiting)}, nowMs),
			waiting => this._workMs(waiting),
		);
		// Running statements are on average half done.
		return {lateMs, onTimeMs: onTimeMs + (running * serviceMs(statement.lane) / 2)};
	}

	private _workMs({priority, lane}: Pick<WaitingStatement, 'priority' | 'lane'>): number {
		return this._usage.workMs(priority, lane) ?? 0;
	}

	/** Expected time from the start of a statement to its answer; for the begin of a transaction, to the answer of the transaction. */
	private _expectedMs(statement: Pick<WaitingStatement, 'priority' | 'lane'>): number {
		const ownMs = this._workMs(statement);
		return statement.lane === 'begin' ? ownMs + (statementsAfterBegin * this._workMs({priority: statement.priority, lane: 'transaction'})) : ownMs;
	}

	private _logRefusal<T extends WaitingStatement>({priority, lane}: DecidedStatement, {queue, running, slots}: QueueState<T>, {waitMs}: AdmissionDecision): void {
		const {clock, load: {log, options}} = this._context;
		this._refused += 1;
		if (clock.nowMs() - this._loggedAtMs < options.eventSpacingMs) {
			return;
		}

		log.event('goalAdmissionRefused', {
			endpoint: this._endpoint, priority, lane, waitMs: Math.round(waitMs), waiting: queue.length, running, slots, refused: this._refused,
		});
		this._loggedAtMs = clock.nowMs();
		this._refused = 0;
	}
}

/** When the goal of a statement ends; a statement without a goal is in time until its deadline. */
function goalAtMsOf({goalAtMs, deadlineMs}: Pick<WaitingStatement, 'goalAtMs' | 'deadlineMs'>): number {
	return goalAtMs ?? deadlineMs ?? Number.POSITIVE_INFINITY;
}
