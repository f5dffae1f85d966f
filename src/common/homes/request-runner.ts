/**
 * Runs one request cycle through a home: admission, slot, connection, exchange, answer.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {EndpointConnection, GroupMonitor, HomeEnd} from '../services/services.js';
import type {Admission} from './admission.js';
import type {ConnectionPool} from './connection-pool.js';
import type {HeldTransaction, HeldTransactions} from './held-transactions.js';
import {awaitOverdue} from './overdue.js';
import type {PositionTracker} from './position-tracker.js';
import type {RequestCompletion} from './request-completion.js';
import {rollBack} from './rollback.js';
import type {SlotGrant, SlotQueue} from './slot-queue.js';
import type {StatementOutcome, StatementRunner} from './statement-runner.js';
import type {HomeContext, RunningRequest, SlotLane} from './types.js';
import {waitUntil} from './wait-until.js';

/** Components that process the requests to one endpoint. */
export type RequestPipeline = {
	readonly endpoint: string;
	readonly monitor: GroupMonitor;
	readonly tracker: PositionTracker;
	readonly admission: Admission;
	readonly queue: SlotQueue;
	readonly pool: ConnectionPool;
	readonly transactions: HeldTransactions;
	readonly runner: StatementRunner;
	readonly completion: RequestCompletion;
	/** Returns the refusal for new work once the home is stopping; undefined before. */
	readonly closedRefusal: () => Refusal | undefined;
};

/** Runs the request cycles of one endpoint. */
export class RequestRunner {
	private readonly _context: HomeContext;
	private readonly _pipeline: RequestPipeline;

	constructor(context: HomeContext, pipeline: RequestPipeline) {
		this._context = context;
		this._pipeline = pipeline;
	}

	/** Runs one request cycle; resolves with its end once the answer was forwarded, or with the refusal. */
	async run(run: RunningRequest): Promise<Either<Refusal, HomeEnd>> {
		const result = run.request.isInTransaction ? await this._continueTransaction(run) : await this._runNew(run);
		result.ifLeft(refusal => {
			this._recordRefusal(run, refusal);
		});
		return result;
	}

	/** Runs a cycle outside a transaction, or the first one of a transaction. */
	private async _runNew(run: RunningRequest): Promise<Either<Refusal, HomeEnd>> {
		const {admission, transactions, monitor, closedRefusal} = this._pipeline;
		// The entry node knows of no open transaction, so one that is still held for the session is abandoned.
		transactions.abandon(run.request.sessionId);
		const refusal = closedRefusal() ?? await admission.admit(run);
		if (refusal) {
			return Left(refusal);
		}

		if (run.request.isFreshnessProved && run.request.access === 'read' && admission.isPrimary) {
			run.proof = monitor.prove(this._timeLeftMs(run));
		}

		const slot = await this._acquireSlot(run, run.request.step === 'begin' ? 'begin' : run.request.access);
		if (slot.isLeft()) {
			return slot;
		}

		const grant = slot.unsafeCoerce();
		const outcome = await this._runOnFreeConnection(run, grant);
		if (outcome.isLeft()) {
			grant.dispose();
			return outcome;
		}

		return this._finish(run, outcome.unsafeCoerce());
	}

	private async _runOnFreeConnection(run: RunningRequest, grant: SlotGrant): Promise<Either<Refusal, StatementOutcome>> {
		const {pool, admission, closedRefusal} = this._pipeline;
		const acquired = await pool.acquire(this._timeLeftMs(run));
		if (acquired.isLeft()) {
			return acquired;
		}

		const connection = acquired.unsafeCoerce();
		// Last check before sending, since the request may have waited long for its slot and connection.
		const refusal = closedRefusal() ?? await admission.recheck(run) ?? cancelRefusal(run);
		if (refusal) {
			pool.release(connection);
			return Left(refusal);
		}

		return Right(await this._runOn(run, connection, grant));
	}

	private async _runOn(run: RunningRequest, connection: EndpointConnection, grant: SlotGrant): Promise<StatementOutcome> {
		const {endpoint, tracker, admission, transactions, runner} = this._pipeline;
		const {invariants, configuration} = this._context;
		const {epoch} = tracker;
		run.isOnPrimary = admission.isPrimary;
		invariants.check('transactionIsolation', !transactions.isPinned(connection), () => `${run.request.sessionId} got a held connection`);
		invariants.check('leavingEndpoint', !configuration.endpointPolicy(endpoint).isDraining, () => endpoint);
		const outcome = await runner.run(run, connection);
		if (outcome.overdue) {
			this._trackOverdue(connection, grant, outcome.overdue);
		} else {
			this._settleConnection(run, connection, outcome);
			this._learnPosition(outcome, epoch);
			grant.dispose();
		}

		return outcome;
	}

	private _settleConnection(run: RunningRequest, connection: EndpointConnection, outcome: StatementOutcome): void {
		const {pool, transactions} = this._pipeline;
		const end = outcome.result.toMaybe().extract();
		if (!end) {
			pool.discard(connection);
		} else if (end.transactionStatus === 'idle') {
			pool.release(connection);
		} else if (run.isReleased) {
			this._rollBack(connection);
		} else {
			const {sessionId, transactionIdleMs: idleMs} = run.request;
			transactions.hold({
				sessionId, connection, isOnPrimary: run.isOnPrimary, idleMs,
			});
		}
	}

	/** Runs a cycle of an open transaction, on the connection that the transaction holds. */
	private async _continueTransaction(run: RunningRequest): Promise<Either<Refusal, HomeEnd>> {
		const {transactions, tracker, admission, runner} = this._pipeline;
		const found = await this._findTransaction(run);
		if (found.isLeft()) {
			return found;
		}

		const held = found.unsafeCoerce();
		transactions.begin(held);
		const slot = await this._acquireSlot(run, 'transaction');
		if (slot.isLeft()) {
			this._settleTransaction(run, held);
			return slot;
		}

		const {epoch} = tracker;
		run.isOnPrimary = held.isOnPrimary || admission.isPrimary;
		this._context.invariants.check('transactionIsolation', held.sessionId === run.request.sessionId, () => run.request.sessionId);
		const grant = slot.unsafeCoerce();
		const outcome = await runner.run(run, held.connection);
		if (outcome.overdue) {
			transactions.end(held);
			this._trackOverdue(held.connection, grant, outcome.overdue);
		} else {
			this._settleTransaction(run, held, outcome);
			this._learnPosition(outcome, epoch);
			grant.dispose();
		}

		return this._finish(run, outcome);
	}

	/** Waits until no earlier statement of the session's transaction is in progress, and returns the transaction. */
	private async _findTransaction(run: RunningRequest): Promise<Either<Refusal, HeldTransaction>> {
		const {transactions, admission, endpoint} = this._pipeline;
		const {sessionId} = run.request;
		const isFree = await waitUntil(this._context.clock, {
			condition: () => transactions.get(sessionId)?.isBusy !== true,
			events: [transactions.onChange],
			timeoutMs: this._timeLeftMs(run),
			signal: run.signal,
		});
		if (!isFree) {
			return Left(new Refusal(run.signal.aborted ? 'cancelled' : 'deadlineExceeded', 'an earlier statement of the transaction still runs'));
		}

		const held = transactions.get(sessionId);
		return held
			? Right(held)
			: Left(new Refusal(transactions.takeEndReason(sessionId), endpoint, {correction: admission.correction()}));
	}

	private _settleTransaction(run: RunningRequest, held: HeldTransaction, outcome?: StatementOutcome): void {
		const {pool, transactions} = this._pipeline;
		const {connection} = held;
		const isStillHeld = transactions.get(held.sessionId) === held;
		const end = outcome?.result.toMaybe().extract();
		if (outcome && !end) {
			transactions.end(held);
			pool.discard(connection);
		} else if (end?.transactionStatus === 'idle') {
			transactions.end(held);
			pool.release(connection);
		} else if (isStillHeld) {
			transactions.pause(held, run.request.transactionIdleMs);
		} else {
			transactions.end(held);
			this._rollBack(connection);
		}
	}

	private async _finish(run: RunningRequest, outcome: StatementOutcome): Promise<Either<Refusal, HomeEnd>> {
		const {completion: finish, transactions} = this._pipeline;
		const result = await finish.finish(run, outcome);
		// A requester that gets a refusal assumes that no transaction is held for it.
		result.ifLeft(() => {
			transactions.abandon(run.request.sessionId);
		});
		return result;
	}

	private async _acquireSlot(run: RunningRequest, lane: SlotLane): Promise<Either<Refusal, SlotGrant>> {
		const {caller, priority} = run.request;
		const slot = await this._pipeline.queue.acquire({
			caller, priority, lane, timeLeftMs: this._timeLeftMs(run),
		}, run.signal);
		run.queuedMs = slot.map(grant => grant.queuedMs).orDefault(0);
		return slot;
	}

	private _rollBack(connection: EndpointConnection): void {
		const {queue, pool} = this._pipeline;
		void rollBack(this._context, queue, pool, connection);
	}

	private _trackOverdue(connection: EndpointConnection, grant: SlotGrant, exchange: Promise<unknown>): void {
		const {pool} = this._pipeline;
		void awaitOverdue(this._context, {pool, connection, grant}, exchange);
	}

	private _learnPosition(outcome: StatementOutcome, epoch: number): void {
		outcome.result.ifRight(end => {
			if (end.transactionStatus === 'idle') {
				this._pipeline.tracker.observeExchange(end.position, epoch);
			}
		});
	}

	private _recordRefusal(run: RunningRequest, refusal: Refusal): void {
		const {invariants, metrics} = this._context;
		const isTruthful = refusal.answer.outcome !== 'notRun' || !run.isSent || run.isWithoutEffect;
		invariants.check('refusalTruth', isTruthful, () => `${refusal.kind} after the request was sent`);
		metrics.count('homeRefusalsTotal', {endpoint: this._pipeline.endpoint, kind: refusal.kind});
	}

	private _timeLeftMs(run: RunningRequest): number {
		return run.deadlineMs - this._context.clock.nowMs();
	}
}

function cancelRefusal(run: RunningRequest): Refusal | undefined {
	return run.signal.aborted ? new Refusal('cancelled') : undefined;
}
