/**
 * The home of one endpoint: its attach, connections, slots, queue and open transactions.
 */
import type {Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {DisposableStore} from '../lifecycle/disposable.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {
	AnswerSink, EndpointDefinition, GroupMonitor, HomeEnd, HomeRequest,
} from '../services/services.js';
import {Acknowledgement} from './acknowledgement.js';
import {Admission} from './admission.js';
import {Attachment} from './attachment.js';
import {ConnectionPool} from './connection-pool.js';
import {minimumHeldTransactions} from './constants.js';
import {HeldTransactions} from './held-transactions.js';
import {PositionTracker} from './position-tracker.js';
import {RequestCompletion} from './request-completion.js';
import {RequestRunner} from './request-runner.js';
import {rollBack} from './rollback.js';
import {SlotQueue} from './slot-queue.js';
import {StatementRunner} from './statement-runner.js';
import type {HomeContext, RunningRequest} from './types.js';
import {waitUntil} from './wait-until.js';

/** Stage of draining: no new transactions begin while finishing, no new work at all while stopping. */
type Stage = 'serving' | 'finishing' | 'stopping';

/** Definition of the endpoint and size of its group, as assigned to a home. */
export type EndpointAssignment = {
	readonly definition: EndpointDefinition;
	/** Number of instances of the group. */
	readonly groupSize: number;
};

/** Time limits of draining, in milliseconds. */
export type DrainBounds = {
	readonly boundMs: number;
	/** Time for open transactions to finish, within `boundMs`. */
	readonly transactionMs: number;
};

/** Serves one endpoint. */
export class EndpointHome implements Disposable {
	private readonly _context: HomeContext;
	private readonly _owned = new DisposableStore();
	private readonly _attachment: Attachment;
	private readonly _pool: ConnectionPool;
	private readonly _queue: SlotQueue;
	private readonly _transactions: HeldTransactions;
	private readonly _admission: Admission;
	private readonly _requests: RequestRunner;
	private readonly _runner: StatementRunner;
	private readonly _inProgress = new Set<RunningRequest>();
	private readonly _onFinished = this._owned.register(new Emitter<void>());
	private _assignment: EndpointAssignment;
	private _isPrimary: boolean;
	private _stage: Stage = 'serving';
	private _draining: Promise<void> | undefined;

	constructor(context: HomeContext, assignment: EndpointAssignment, homeId: string, monitor: GroupMonitor) {
		const {definition} = assignment;
		const {name: endpoint} = definition;
		this._context = context;
		this._assignment = assignment;
		const tracker = this._owned.register(new PositionTracker());
		this._transactions = this._owned.register(new HeldTransactions(context, endpoint));
		this._pool = this._owned.register(new ConnectionPool(context, definition, homeId, this._connectionLimit()));
		this._queue = new SlotQueue(context, endpoint, definition.slots, beginsRunning => this._mayBegin(beginsRunning));
		this._attachment = this._owned.register(new Attachment(context, {
			endpoint, homeId, monitor, tracker,
		}));
		this._admission = new Admission(context, {
			endpoint, monitor, attachment: this._attachment, tracker,
		});
		const acknowledgement = new Acknowledgement(context, endpoint, monitor, this._admission);
		this._runner = new StatementRunner(context, acknowledgement);
		this._requests = new RequestRunner(context, {
			endpoint,
			monitor,
			tracker,
			admission: this._admission,
			queue: this._queue,
			pool: this._pool,
			transactions: this._transactions,
			runner: this._runner,
			completion: new RequestCompletion(context, endpoint, this._admission, acknowledgement),
			closedRefusal: () => this._stage === 'stopping' ? this._notHomeRefusal() : undefined,
		});
		this._isPrimary = monitor.view().primary === endpoint;
		this._subscribe(monitor);
	}

	/** Whether the endpoint has accepted this node as its home. */
	get isAttached(): boolean {
		return this._attachment.isAttached;
	}

	/** Definition of the endpoint that this home currently uses. */
	get definition(): EndpointDefinition {
		return this._assignment.definition;
	}

	/** Starts attaching to the endpoint. */
	start(): void {
		this._pool.setTargetSize(this._targetConnections());
		this._attachment.start();
	}

	/** Applies a change of the endpoint's slots, its connections or the size of its group. */
	update(assignment: EndpointAssignment): void {
		this._assignment = assignment;
		this._queue.setSlots(assignment.definition.slots);
		this._pool.setLimit(this._connectionLimit());
		this._pool.setTargetSize(this._targetConnections());
	}

	/** Runs one request cycle; resolves with its end or the refusal. */
	async execute(request: HomeRequest, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, HomeEnd>> {
		const run = this._createRun(request, sink, signal);
		this._inProgress.add(run);
		try {
			return await this._requests.run(run);
		} finally {
			this._inProgress.delete(run);
			this._onFinished.fire();
		}
	}

	/** Abandons the open transaction of a session, also one that a request in progress leaves open. */
	release(sessionId: string): void {
		this._transactions.abandon(sessionId);
		for (const run of this._inProgress) {
			run.isReleased ||= run.request.sessionId === sessionId;
		}
	}

	/** Abandons the open transactions of all sessions whose ids begin with a prefix, such as those of one entry node. */
	releaseAll(prefix: string): void {
		for (const sessionId of this._transactions.sessionsOf(prefix)) {
			this._transactions.abandon(sessionId);
		}

		for (const run of this._inProgress) {
			run.isReleased ||= run.request.sessionId.startsWith(prefix);
		}
	}

	/** Number of requests that the endpoint is processing now. */
	get runningCount(): number {
		return [...this._inProgress].filter(run => run.isRunning).length;
	}

	/** Drains the endpoint within the bounds and detaches from it; later calls join the drain of the first call, with its bounds. */
	async letGo(bounds: DrainBounds): Promise<void> {
		this._draining ??= this._drainWithin(bounds);
		return this._draining;
	}

	dispose(): void {
		this._stage = 'stopping';
		this._queue.refuseNewWork(() => this._notHomeRefusal());
		this._owned.dispose();
	}

	private _subscribe(monitor: GroupMonitor): void {
		this._owned.register(monitor.onChange(({primary}) => {
			this._onPrimaryChanged(primary);
		}));
		this._owned.register(this._attachment.onChange(isAttached => {
			if (isAttached) {
				this._pool.start();
			} else {
				this._pool.stop();
			}
		}));
		this._owned.register(this._pool.onNotAttached(() => {
			this._attachment.reportNotAttached();
		}));
		this._owned.register(this._pool.onLost(connection => {
			this._transactions.onConnectionLost(connection);
		}));
		this._owned.register(this._transactions.onChange(() => {
			this._pool.setTargetSize(this._targetConnections());
			this._queue.serve();
		}));
		this._owned.register(this._transactions.onAbandoned(connection => {
			void rollBack(this._context, this._queue, this._pool, connection);
		}));
	}

	/**
	 * Once another endpoint is primary, neither waiting writes nor running requests can succeed
	 * here. Waiting writes are refused at once. Running requests are abandoned only after a grace
	 * time: an endpoint that is still alive answers within it, with a more specific error.
	 */
	private _onPrimaryChanged(primary: string): void {
		const {clock, options} = this._context;
		const {name} = this.definition;
		const wasPrimary = this._isPrimary;
		this._isPrimary = primary === name;
		if (!wasPrimary || this._isPrimary || primary === '') {
			return;
		}

		this._queue.refuseWrites(() => new Refusal('notPrimary', name, {correction: this._admission.correction()}));
		const timer = this._owned.register(clock.setTimer(options.replacedGraceMs, () => {
			this._owned.release(timer);
			if (!this._isPrimary) {
				this._runner.onReplaced();
			}
		}));
	}

	private _createRun(request: HomeRequest, sink: AnswerSink, signal: AbortSignal): RunningRequest {
		return {
			request,
			sink,
			signal,
			deadlineMs: this._context.clock.nowMs() + request.timeLeftMs,
			isOnPrimary: false,
			minimumPosition: request.minimumPosition,
			proof: undefined,
			isSent: false,
			isRunning: false,
			isWithoutEffect: request.access === 'read' && !request.isInTransaction,
			isReleased: false,
			queuedMs: 0,
			ageMs: undefined,
		};
	}

	/**
	 * Drains in three steps, so that the endpoint is served for as long as possible. First, only new
	 * transactions have to wait, until the open ones have ended or their time is over; the rest are
	 * abandoned. Then it waits for the statements that already run, while others are still served.
	 * New work is refused only for the time that the last statements take.
	 */
	private async _drainWithin(bounds: DrainBounds): Promise<void> {
		const endMs = this._context.clock.nowMs() + bounds.boundMs;
		this._stage = 'finishing';
		await this._wait(bounds.transactionMs, () => this._transactions.count + this._queue.beginsRunning === 0);
		this._transactions.abandonAll('transactionLost');
		const newest = this._queue.newestGrant;
		await this._wait(this._remainingMs(endMs), () => !this._queue.isRunningUpTo(newest));
		this._stage = 'stopping';
		this._queue.refuseNewWork(() => this._notHomeRefusal());
		await this._wait(this._remainingMs(endMs), () => this._queue.running === 0);
		this._pool.closeAll();
		await this._attachment.detach();
		// Answers that wait for confirmation need neither a slot nor a connection.
		await this._wait(this._remainingMs(endMs), () => this._inProgress.size === 0);
	}

	private async _wait(timeoutMs: number, condition: () => boolean): Promise<void> {
		const events = [this._transactions.onChange, this._queue.onFreed, this._onFinished.event];
		await waitUntil(this._context.clock, {condition, events, timeoutMs});
	}

	private _remainingMs(timeMs: number): number {
		return timeMs - this._context.clock.nowMs();
	}

	private _notHomeRefusal(): Refusal {
		const {membership} = this._context;
		const home = membership.homeOf(this.definition)?.name;
		const homeNode = home === membership.self.name ? undefined : home;
		return new Refusal('notHome', `${this.definition.name} is being drained by this node`, {correction: {...this._admission.correction(), homeNode}});
	}

	/** Limits the open transactions so that as many connections as slots stay available for other work. */
	private _mayBegin(beginsRunning: number): boolean {
		const bound = Math.max(minimumHeldTransactions, this._pool.limit - this.definition.slots);
		return this._stage === 'serving' && this._transactions.count + beginsRunning < bound;
	}

	private _connectionLimit(): number {
		const {definition, groupSize} = this._assignment;
		return Math.max(1, definition.connections - groupSize - this._context.options.spareConnections);
	}

	private _targetConnections(): number {
		return this.definition.slots + this._transactions.count;
	}
}
