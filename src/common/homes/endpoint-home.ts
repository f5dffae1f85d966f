/**
 * The home of one endpoint: its attach, connections, slots, queue and open transactions.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {DisposableStore} from '../lifecycle/disposable.js';
import {Emitter} from '../lifecycle/emitter.js';
import type {
	AnswerSink, EndpointConnection, EndpointDefinition, GroupMonitor, HomeEnd, HomeRequest,
} from '../services/services.js';
import {Acknowledgement} from './acknowledgement.js';
import {Admission} from './admission.js';
import {Attachment} from './attachment.js';
import {ConnectionPool} from './connection-pool.js';
import {minimumHeldTransactions} from './constants.js';
import {HeldTransactions} from './held-transactions.js';
import type {HeldTransaction} from './held-transactions.js';
import {PositionTracker} from './position-tracker.js';
import {RequestFinish} from './request-finish.js';
import {rollBack} from './rollback.js';
import {SlotQueue} from './slot-queue.js';
import type {SlotGrant} from './slot-queue.js';
import {StatementRunner} from './statement-runner.js';
import type {StatementOutcome} from './statement-runner.js';
import type {HomeContext, RunningRequest, SlotLane} from './types.js';
import {until} from './waiting.js';

/** How far a home has gone in letting its endpoint go. */
type Stage = 'serving' | 'finishing' | 'stopping';

/** What a home needs to know of its endpoint's group. */
export type EndpointPlace = {
	readonly definition: EndpointDefinition;
	/** Instances of the group. */
	readonly groupSize: number;
};

/** Serves one endpoint. */
export class EndpointHome implements Disposable {
	private readonly _context: HomeContext;
	private readonly _owned = new DisposableStore();
	private readonly _monitor: GroupMonitor;
	private readonly _tracker: PositionTracker;
	private readonly _attachment: Attachment;
	private readonly _pool: ConnectionPool;
	private readonly _queue: SlotQueue;
	private readonly _transactions: HeldTransactions;
	private readonly _admission: Admission;
	private readonly _runner: StatementRunner;
	private readonly _finish: RequestFinish;
	private readonly _inProgress = new Set<RunningRequest>();
	private readonly _onFinished = this._owned.register(new Emitter<void>());
	private _place: EndpointPlace;
	private _stage: Stage = 'serving';
	private _letGo: Promise<void> | undefined;

	constructor(context: HomeContext, place: EndpointPlace, homeId: string, monitor: GroupMonitor) {
		const {definition} = place;
		const {name} = definition;
		this._context = context;
		this._place = place;
		this._monitor = monitor;
		this._tracker = this._owned.register(new PositionTracker());
		this._transactions = this._owned.register(new HeldTransactions(context, name));
		this._pool = this._owned.register(new ConnectionPool(context, definition, homeId, this._connectionLimit()));
		this._queue = new SlotQueue(context, name, definition.slots, beginsRunning => this._mayBegin(beginsRunning));
		this._attachment = this._owned.register(new Attachment(context, {
			endpoint: name, homeId, monitor, tracker: this._tracker,
		}));
		this._admission = new Admission(context, {
			endpoint: name, monitor, attachment: this._attachment, tracker: this._tracker,
		});
		const acknowledgement = new Acknowledgement(context, name, monitor, this._admission);
		this._runner = new StatementRunner(context, acknowledgement);
		this._finish = new RequestFinish(context, name, this._admission, acknowledgement);
		this._connectParts();
	}

	/** Whether the endpoint has accepted this node as its home. */
	get isAttached(): boolean {
		return this._attachment.isAttached;
	}

	/** The endpoint as this home knows it. */
	get definition(): EndpointDefinition {
		return this._place.definition;
	}

	/** Begins to attach. */
	start(): void {
		this._pool.setWanted(this._wantedConnections());
		this._attachment.start();
	}

	/** Follows a change of the endpoint's slots or connections. */
	update(place: EndpointPlace): void {
		this._place = place;
		this._queue.setSlots(place.definition.slots);
		this._pool.setLimit(this._connectionLimit());
		this._pool.setWanted(this._wantedConnections());
	}

	/** Runs one request cycle. */
	async execute(request: HomeRequest, sink: AnswerSink, signal: AbortSignal): Promise<Either<Refusal, HomeEnd>> {
		const run = this._newRun(request, sink, signal);
		this._inProgress.add(run);
		try {
			const result = request.isInTransaction ? await this._continueTransaction(run) : await this._runNew(run);
			result.ifLeft(refusal => {
				this._noteRefusal(run, refusal);
			});
			return result;
		} finally {
			this._inProgress.delete(run);
			this._onFinished.fire();
		}
	}

	/** Ends what a session holds. */
	release(sessionId: string): void {
		this._transactions.abandon(sessionId);
		for (const run of this._inProgress) {
			run.isReleased ||= run.request.sessionId === sessionId;
		}
	}

	/** Ends what the sessions of one entry node hold. */
	releaseAll(prefix: string): void {
		for (const sessionId of this._transactions.sessionsOf(prefix)) {
			this._transactions.abandon(sessionId);
		}

		for (const run of this._inProgress) {
			run.isReleased ||= run.request.sessionId.startsWith(prefix);
		}
	}

	/** Finishes what runs, within a bound in milliseconds, and detaches. */
	async letGo(boundMs: number): Promise<void> {
		this._letGo ??= this._letGoWithin(boundMs);
		return this._letGo;
	}

	dispose(): void {
		this._stage = 'stopping';
		this._queue.refuseNewWork(() => this._notHome());
		this._owned.dispose();
	}

	private _connectParts(): void {
		this._owned.register(this._attachment.onChange(isAttached => {
			if (isAttached) {
				this._pool.start();
			} else {
				this._pool.stop();
			}
		}));
		this._owned.register(this._pool.onNotAttached(() => {
			this._attachment.onContradicted();
		}));
		this._owned.register(this._pool.onLost(connection => {
			this._transactions.onConnectionLost(connection);
		}));
		this._owned.register(this._transactions.onChange(() => {
			this._pool.setWanted(this._wantedConnections());
			this._queue.serve();
		}));
		this._owned.register(this._transactions.onAbandoned(connection => {
			void rollBack(this._context, this._queue, this._pool, connection);
		}));
	}

	private _newRun(request: HomeRequest, sink: AnswerSink, signal: AbortSignal): RunningRequest {
		return {
			request,
			sink,
			signal,
			deadlineMs: this._context.clock.nowMs() + request.timeLeftMs,
			isOnPrimary: false,
			proof: undefined,
			isSent: false,
			isWithoutEffect: request.access === 'read' && !request.isInTransaction,
			isReleased: false,
			queuedMs: 0,
			ageMs: undefined,
		};
	}

	/** A cycle outside of a transaction, or the first one of it. */
	private async _runNew(run: RunningRequest): Promise<Either<Refusal, HomeEnd>> {
		// The entry node knows of no transaction: what is left of one is of no use to anybody.
		this._transactions.abandon(run.request.sessionId);
		const refusal = this._stage === 'stopping' ? this._notHome() : await this._admission.admit(run);
		if (refusal) {
			return Left(refusal);
		}

		if (run.request.isFreshnessProved && run.request.access === 'read') {
			run.proof = this._monitor.prove(this._timeLeftMs(run));
		}

		const slot = await this._enter(run, laneOf(run.request));
		if (slot.isLeft()) {
			return slot;
		}

		const outcome = await this._runInSlot(run, slot.unsafeCoerce());
		return outcome.isLeft() ? outcome : this._finished(run, outcome.unsafeCoerce());
	}

	/** Runs on a connection of the pool; the slot is freed when the exchange is over. */
	private async _runInSlot(run: RunningRequest, slot: SlotGrant): Promise<Either<Refusal, StatementOutcome>> {
		try {
			const refusal = this._stage === 'stopping' ? this._notHome() : await this._admission.admitNow(run);
			if (refusal) {
				return Left(refusal);
			}

			const acquired = await this._pool.acquire(this._timeLeftMs(run));
			if (acquired.isLeft()) {
				return acquired;
			}

			const connection = acquired.unsafeCoerce();
			const {epoch} = this._tracker;
			run.isOnPrimary = this._admission.isPrimary;
			run.ageMs ??= this._monitor.ageMs(this.definition.name);
			this._context.invariants.check('transactionIsolation', !this._transactions.holds(connection), () => run.request.sessionId);
			const outcome = await this._runner.run(run, connection);
			this._settleNew(run, connection, outcome, epoch);
			return Right(outcome);
		} finally {
			slot.dispose();
		}
	}

	private _settleNew(run: RunningRequest, connection: EndpointConnection, outcome: StatementOutcome, epoch: number): void {
		const end = outcome.result.toMaybe().extract();
		if (!end) {
			this._pool.discard(connection);
		} else if (end.transactionStatus === 'idle') {
			this._tracker.observeExchange(end.position, epoch);
			this._pool.giveBack(connection);
		} else if (run.isReleased) {
			void rollBack(this._context, this._queue, this._pool, connection);
		} else {
			const {sessionId, transactionIdleMs: idleMs} = run.request;
			this._transactions.hold({
				sessionId, connection, isOnPrimary: run.isOnPrimary, idleMs,
			});
		}
	}

	/** A cycle of an open transaction, on the connection that it holds. */
	private async _continueTransaction(run: RunningRequest): Promise<Either<Refusal, HomeEnd>> {
		const held = await this._freeTransaction(run);
		if (!held) {
			const reason = this._transactions.takeEndReason(run.request.sessionId);
			return Left(new Refusal(reason, this.definition.name, {correction: this._admission.correction()}));
		}

		this._transactions.begin(held);
		const slot = await this._enter(run, 'transaction');
		if (slot.isLeft()) {
			this._settleHeld(run, held);
			return slot;
		}

		run.isOnPrimary = held.isOnPrimary || this._admission.isPrimary;
		const isOwn = held.sessionId === run.request.sessionId && this._transactions.holds(held.connection);
		this._context.invariants.check('transactionIsolation', isOwn || run.isReleased, () => run.request.sessionId);
		const outcome = await this._runner.run(run, held.connection);
		this._settleHeld(run, held, outcome);
		slot.ifRight(grant => {
			grant.dispose();
		});
		return this._finished(run, outcome);
	}

	/** The session's transaction, once no earlier statement of it is in progress. */
	private async _freeTransaction(run: RunningRequest): Promise<HeldTransaction | undefined> {
		const {sessionId} = run.request;
		await until(this._context.clock, {
			condition: () => this._transactions.get(sessionId)?.isBusy !== true,
			events: [this._transactions.onChange],
			timeoutMs: this._timeLeftMs(run),
			signal: run.signal,
		});
		const held = this._transactions.get(sessionId);
		return held?.isBusy === true ? undefined : held;
	}

	private _settleHeld(run: RunningRequest, held: HeldTransaction, outcome?: StatementOutcome): void {
		const {connection} = held;
		const isStillHeld = this._transactions.get(held.sessionId) === held;
		const end = outcome?.result.toMaybe().extract();
		if (outcome && !end) {
			this._transactions.end(held);
			this._pool.discard(connection);
		} else if (end?.transactionStatus === 'idle') {
			this._transactions.end(held);
			this._pool.giveBack(connection);
		} else if (isStillHeld) {
			this._transactions.pause(held, run.request.transactionIdleMs);
		} else {
			this._transactions.end(held);
			void rollBack(this._context, this._queue, this._pool, connection);
		}
	}

	private async _finished(run: RunningRequest, outcome: StatementOutcome): Promise<Either<Refusal, HomeEnd>> {
		const result = await this._finish.finish(run, outcome);
		// An asker that gets a refusal believes that nothing is held for it.
		result.ifLeft(() => {
			this._transactions.abandon(run.request.sessionId);
		});
		return result;
	}

	private async _enter(run: RunningRequest, lane: SlotLane): Promise<Either<Refusal, SlotGrant>> {
		const {caller, priority} = run.request;
		const slot = await this._queue.enter({
			caller, priority, lane, timeLeftMs: this._timeLeftMs(run),
		}, run.signal);
		run.queuedMs = slot.map(grant => grant.queuedMs).orDefault(0);
		return slot;
	}

	private async _letGoWithin(boundMs: number): Promise<void> {
		const {clock, options} = this._context;
		const endMs = clock.nowMs() + boundMs;
		this._stage = 'finishing';
		await until(clock, {
			condition: () => this._transactions.count === 0,
			events: [this._transactions.onChange],
			timeoutMs: boundMs * options.handOverFinishingShare,
		});
		this._stage = 'stopping';
		this._queue.refuseNewWork(() => this._notHome());
		await until(clock, {
			condition: () => this._transactions.count === 0 && this._queue.running === 0,
			events: [this._transactions.onChange, this._queue.onFreed],
			timeoutMs: endMs - clock.nowMs(),
		});
		this._transactions.abandonAll('transactionLost');
		this._pool.closeAll();
		await this._attachment.detach();
		// Answers that wait for confirmation need neither slot nor connection.
		await until(clock, {
			condition: () => this._inProgress.size === 0,
			events: [this._onFinished.event],
			timeoutMs: endMs - clock.nowMs(),
		});
	}

	private _notHome(): Refusal {
		const {membership} = this._context;
		const home = membership.homeOf(this.definition)?.name;
		const homeNode = home === membership.self.name ? undefined : home;
		return new Refusal('notHome', `${this.definition.name} is being let go`, {correction: {...this._admission.correction(), homeNode}});
	}

	private _noteRefusal(run: RunningRequest, refusal: Refusal): void {
		const {invariants, metrics} = this._context;
		const isTrue = refusal.answer.outcome !== 'notRun' || !run.isSent || run.isWithoutEffect;
		invariants.check('refusalTruth', isTrue, () => `${refusal.kind} after the request was sent`);
		metrics.count('homeRefusalsTotal', {endpoint: this.definition.name, kind: refusal.kind});
	}

	/** Some connections stay free of transactions, so that other work can go on. */
	private _mayBegin(beginsRunning: number): boolean {
		const bound = Math.max(minimumHeldTransactions, this._pool.limit - this.definition.slots);
		return this._stage === 'serving' && this._transactions.count + beginsRunning < bound;
	}

	private _connectionLimit(): number {
		const {definition, groupSize} = this._place;
		return Math.max(1, definition.connections - groupSize - this._context.options.spareConnections);
	}

	private _wantedConnections(): number {
		return this.definition.slots + this._transactions.count;
	}

	private _timeLeftMs(run: RunningRequest): number {
		return run.deadlineMs - this._context.clock.nowMs();
	}
}

function laneOf(request: HomeRequest): SlotLane {
	return request.step === 'begin' ? 'begin' : request.access;
}
