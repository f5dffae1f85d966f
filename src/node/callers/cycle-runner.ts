/** Runs the request cycles of one session through the router and completes their answers. */
import {Refusal} from '../../common/errors/error-kinds.js';
import type {CallerSession} from '../../common/sessions/caller-session.js';
import type {
	AnswerSink, Clock, Metrics, RequestCycle, Router,
} from '../../common/services/services.js';
import type {AnswerFilter} from '../../common/statements/answer-filter.js';
import {
	errorResponse, parameterStatus, queryFrame, readyForQuery,
} from '../../common/statements/frames.js';
import type {TransactionPlan} from '../../common/statements/transaction-plan.js';
import type {AnswerWriter} from './answer-writer.js';

/** What a runner works with. */
export type CycleRunnerServices = {
	readonly router: Router;
	readonly clock: Clock;
	readonly metrics: Metrics;
};

/** How an answer ends: with ReadyForQuery, or without it as after Flush. */
export type AnswerTerminator = 'ready' | 'flush';

const discardingSink: AnswerSink = {push: () => undefined};

/** Runs cycles, one at a time. */
export class CycleRunner {
	private readonly _session: CallerSession;
	private readonly _writer: AnswerWriter;
	private readonly _services: CycleRunnerServices;
	/** Reused for successive requests until it has aborted one, because creating a controller costs as much as a whole turn of the event loop. */
	private _abort: AbortController | undefined;
	private _isRunning = false;

	constructor(session: CallerSession, writer: AnswerWriter, services: CycleRunnerServices) {
		this._session = session;
		this._writer = writer;
		this._services = services;
	}

	/** Whether a cycle is in progress. */
	get isRunning(): boolean {
		return this._isRunning;
	}

	/** Relays a cycle and its answer. Returns the refusal if there was one. */
	async run(frames: Uint8Array, plan: TransactionPlan, end: AnswerTerminator, filter?: AnswerFilter): Promise<Refusal | undefined> {
		const {metrics, clock} = this._services;
		const startedMs = clock.nowMs();
		this._writer.begin(filter);
		const refusal = await this._execute({frames, access: plan.access, step: plan.step}, this._writer);
		metrics.observe('callerRequestMs', clock.nowMs() - startedMs, {access: plan.access});
		if (refusal) {
			await this.refuse(refusal, end);
			return refusal;
		}

		this._session.isReadOnlyTransaction = plan.isReadOnlyAfter && this._session.transactionStatus !== 'idle';
		await this.finish([], end);
		return undefined;
	}

	/** Answers with a refusal, which fails the transaction if one is open. */
	async refuse(refusal: Refusal, end: AnswerTerminator): Promise<void> {
		this._services.metrics.count('callerRefusalsTotal', {kind: refusal.kind});
		this._session.isFailedByProxy ||= this._session.transactionStatus !== 'idle';
		// The buffered piece may say that the statement completed.
		this._writer.discardBuffered();
		await this.finish([errorResponse(refusal)], refusal.answer.severity === 'FATAL' ? 'flush' : end);
	}

	/** Ends an answer with the given frames, the session token if it changed, and ReadyForQuery if `end` asks for it. */
	finish(frames: readonly Uint8Array[], end: AnswerTerminator): void | Promise<void> {
		const trailer = [...frames];
		const token = this._session.marks.takeChangedToken();
		if (token !== undefined) {
			trailer.push(parameterStatus('quetzalstream.token', token));
		}

		if (end === 'ready') {
			trailer.push(readyForQuery(this._session.reportedStatus));
		}

		return this._writer.finish(trailer);
	}

	/** Ends a transaction that a refusal of this proxy failed, also at its endpoint if one holds it. */
	async rollBack(): Promise<void> {
		const session = this._session;
		if (session.heldEndpoint !== undefined) {
			await this._execute({frames: queryFrame('ROLLBACK'), access: session.isReadOnlyTransaction ? 'read' : 'write', step: 'rollback'}, discardingSink);
		}

		session.isFailedByProxy = false;
		session.isReadOnlyTransaction = false;
		if (session.heldEndpoint === undefined) {
			session.transactionStatus = 'idle';
		}
	}

	/** Aborts the cycle in progress; does nothing if there is none. */
	cancel(): void {
		if (this._isRunning) {
			this._abort?.abort(new Refusal('cancelled'));
		}
	}

	/**
	 * The abort signal for a cycle that begins now. Later cycles use it too, so its listeners
	 * must be removed when the cycle ends.
	 */
	private _beginAbortable(): AbortSignal {
		if (!this._abort || this._abort.signal.aborted) {
			this._abort = new AbortController();
		}

		this._isRunning = true;
		return this._abort.signal;
	}

	/** Runs a cycle and updates the session's transaction status. */
	private async _execute(cycle: RequestCycle, sink: AnswerSink): Promise<Refusal | undefined> {
		const session = this._session;
		const wasInTransaction = session.transactionStatus !== 'idle';
		const signal = this._beginAbortable();
		const end = await this._services.router.execute(session, cycle, sink, signal);
		this._isRunning = false;
		end.ifRight(({transactionStatus}) => {
			session.transactionStatus = transactionStatus;
		});
		const refusal = end.swap().toMaybe().extract();
		if (!refusal) {
			return undefined;
		}

		const isEnded = session.heldEndpoint === undefined;
		const endsTransaction = cycle.step === 'commit' || cycle.step === 'rollback';
		if (isEnded && (endsTransaction || !wasInTransaction)) {
			session.transactionStatus = 'idle';
		} else if (wasInTransaction) {
			// To the caller, the transaction stays open until the caller ends it.
			session.isFailedByProxy = true;
		}

		return refusal;
	}
}
