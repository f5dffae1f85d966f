/**
 * Completes a request after its exchange has ended: forwards the answer or builds the refusal.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {LogPosition} from '../positions/log-position.js';
import {formatPosition, hasReached} from '../positions/log-position.js';
import type {ExchangeEnd, HomeEnd} from '../services/services.js';
import type {Acknowledgement} from './acknowledgement.js';
import type {Admission} from './admission.js';
import type {AnswerBuffer} from './answer-buffer.js';
import {classifyBrokenExchange} from './fault-kinds.js';
import type {StatementOutcome} from './statement-runner.js';
import type {HomeContext, RunningRequest} from './types.js';

/** SQLSTATE with which a read-only endpoint refuses a write. */
const readOnlySqlState = '25006';

/** Completes the requests of one endpoint. */
export class RequestCompletion {
	private readonly _context: HomeContext;
	private readonly _endpoint: string;
	private readonly _admission: Admission;
	private readonly _acknowledgement: Acknowledgement;

	constructor(context: HomeContext, endpoint: string, admission: Admission, acknowledgement: Acknowledgement) {
		this._context = context;
		this._endpoint = endpoint;
		this._admission = admission;
		this._acknowledgement = acknowledgement;
	}

	/** Forwards the answer once it is confirmed, or returns the refusal that tells why it is not. */
	async finish(run: RunningRequest, outcome: StatementOutcome): Promise<Either<Refusal, HomeEnd>> {
		const {answer, result} = outcome;
		const finished = result.isLeft()
			? Left(this._brokenRefusal(run, outcome))
			: await this._completeExchange(run, answer, result.unsafeCoerce());
		answer.close();
		return finished;
	}

	private async _completeExchange(run: RunningRequest, answer: AnswerBuffer, end: ExchangeEnd): Promise<Either<Refusal, HomeEnd>> {
		const refusal = this._readOnlyRefusal(run, answer, end)
			?? this._behindTokenRefusal(run, answer, end)
			?? await this._acknowledgement.awaitProof(run);
		if (refusal) {
			return Left(this._adjustForPartialAnswer(run, answer, refusal));
		}

		const confirmed = await this._confirm(run, answer, end);
		if (confirmed.isLeft()) {
			return Left(this._adjustForPartialAnswer(run, answer, confirmed.extract()));
		}

		await answer.flush();
		if (answer.stopReason) {
			return Left(this._adjustForPartialAnswer(run, answer, answer.stopReason));
		}

		return Right(this._homeEnd(run, end, confirmed.orDefault(end.position)));
	}

	/** Confirms the answer; returns the position up to which it is confirmed. */
	private async _confirm(run: RunningRequest, answer: AnswerBuffer, end: ExchangeEnd): Promise<Either<Refusal, LogPosition>> {
		if (answer.stopReason) {
			return Left(answer.stopReason);
		}

		const isOver = end.transactionStatus === 'idle';
		const isOnPrimary = run.isOnPrimary || this._admission.isPrimary;
		const isImplied = !isOnPrimary && this._acknowledgement.isImpliedOnReplicas;
		if (isImplied || (!isOver && !answer.hasCommitted)) {
			return Right(end.position);
		}

		// While a transaction is open the endpoint reports no position. If the cycle committed one
		// transaction and began another, the endpoint's current position covers the commit.
		const result = isOver
			? await this._acknowledgement.confirm(run, end.position)
			: await this._acknowledgement.confirmCurrent(run);
		result.ifRight(position => {
			const isCovered = !isOver || hasReached(position, end.position);
			this._context.invariants.check('fencedAcknowledgement', isCovered, () => `${this._endpoint} ${formatPosition(end.position)}`);
		});
		return result;
	}

	private _homeEnd(run: RunningRequest, end: ExchangeEnd, position: LogPosition): HomeEnd {
		const {request} = run;
		const isOver = end.transactionStatus === 'idle';
		const hasReachedMinimum = !isOver || request.access === 'write' || hasReached(position, run.minimumPosition);
		this._context.invariants.check('readYourWrites', hasReachedMinimum, () => `${this._endpoint} at ${formatPosition(position)}`);
		return {
			transactionStatus: end.transactionStatus,
			position,
			isHeld: !isOver,
			errorSqlState: end.errorSqlState,
			queuedMs: run.queuedMs,
			ageMs: run.ageMs,
			correction: this._admission.correction(),
		};
	}

	private _brokenRefusal(run: RunningRequest, outcome: StatementOutcome): Refusal {
		const {answer, overdue} = outcome;
		if (answer.stopReason) {
			return this._adjustForPartialAnswer(run, answer, answer.stopReason);
		}

		const fault = outcome.result.swap().unsafeCoerce();
		const {hasForwarded, hasCommitted} = answer;
		const isOutOfTime = overdue !== undefined && this._context.clock.nowMs() >= run.deadlineMs;
		const classification = classifyBrokenExchange({
			run, fault, isOutOfTime, hasForwarded, hasCommitted,
		});
		run.isWithoutEffect = classification.isWithoutEffect;
		return new Refusal(classification.kind, fault.detail, {correction: this._admission.correction()});
	}

	/** The refusal if the endpoint rejected a write as read-only before anything ran, so that another endpoint may execute it. */
	private _readOnlyRefusal(run: RunningRequest, answer: AnswerBuffer, end: ExchangeEnd): Refusal | undefined {
		const isRefused = end.errorSqlState === readOnlySqlState && answer.startsWithError && !answer.hasForwarded;
		if (!isRefused || end.transactionStatus !== 'idle') {
			return undefined;
		}

		const {request} = run;
		const correction = this._admission.correction();
		run.isWithoutEffect = true;
		if (request.isInTransaction) {
			return new Refusal('transactionLost', 'the endpoint is no longer the primary', {correction});
		}

		return new Refusal(request.access === 'write' ? 'notPrimary' : 'readOnlyEndpoint', this._endpoint, {correction});
	}

	/** The refusal if the position that the endpoint reported shows that the read ran before the required position was applied. */
	private _behindTokenRefusal(run: RunningRequest, answer: AnswerBuffer, end: ExchangeEnd): Refusal | undefined {
		const {request} = run;
		const isRead = request.access === 'read' && end.transactionStatus === 'idle';
		if (!isRead || hasReached(end.position, run.minimumPosition)) {
			return undefined;
		}

		this._context.invariants.check('readYourWrites', !answer.hasForwarded, () => `${this._endpoint} at ${formatPosition(end.position)} in mid-answer`);
		return new Refusal('behindToken', this._endpoint, {correction: this._admission.correction()});
	}

	/** Adjusts a refusal if a part of the answer has been forwarded: the requester must not conclude that nothing ran. */
	private _adjustForPartialAnswer(run: RunningRequest, answer: AnswerBuffer, refusal: Refusal): Refusal {
		if (!answer.hasForwarded || refusal.answer.outcome === 'unknown') {
			return refusal;
		}

		const {access, isInTransaction} = run.request;
		const kind = access === 'write' || isInTransaction ? 'outcomeUnknown' : 'answerCutShort';
		return new Refusal(kind, refusal.detail, {correction: refusal.correction});
	}
}
