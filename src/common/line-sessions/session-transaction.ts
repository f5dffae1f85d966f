/**
 * One transaction of a session. It is begun at an endpoint when its first statement arrives, and all
 * its statements run on the connection on which it was begun.
 */
import type {Either} from 'purify-ts';
import {Refusal} from '../errors/error-kinds.js';
import type {HeldTransaction, StatementFault, TimedAnswer} from '../pools/types.js';
import {pauseFor} from '../lifecycle/timing.js';
import type {PrimaryTracker} from '../primacy/primary-tracker.js';
import type {EndpointAnswer, Route, TransactionStatus} from '../services/services.js';
import type {StatementTarget} from './statement-target-selector.js';
import {lostLogDetail, refusalKinds} from './statement-runner.js';
import type {StatementRunner} from './statement-runner.js';
import type {Answer, LineSessionServices, RunnableStatement} from './types.js';

/** What is known of a transaction at its BEGIN. */
export type TransactionStart = {
	readonly route: Route;
	/** Organisation whose connections the transaction uses. */
	readonly organisation: string | undefined;
	readonly isReadOnly: boolean;
	readonly arrivedAtMs: number;
};

/** A transaction from its BEGIN until it is committed, rolled back or abandoned. */
export class SessionTransaction {
	readonly route: Route;
	readonly organisation: string | undefined;
	/** When its BEGIN arrived, on the node's clock. */
	readonly arrivedAtMs: number;
	private readonly _isReadOnly: boolean;
	private readonly _services: LineSessionServices;
	private readonly _runner: StatementRunner;
	private _held: HeldTransaction | undefined;
	private _target: StatementTarget | undefined;
	/** Term of the primary at which it was begun; undefined if it was begun at a replica. */
	private _term: number | undefined;
	private _hasWritten = false;
	private _failure: Refusal | undefined;
	/** Whether the endpoint's last answer is valid; false once the endpoint has restarted without its log. */
	private _isAnswerValid = true;
	/** Whether a statement is in flight; the connection must not be used for anything else until it is answered. */
	private _isRunning = false;
	/** Whether the failure has been reported to the session. */
	private _isFailureReported = false;

	constructor(beginning: TransactionStart, services: LineSessionServices, runner: StatementRunner) {
		this.route = beginning.route;
		this.organisation = beginning.organisation;
		this._isReadOnly = beginning.isReadOnly;
		this.arrivedAtMs = beginning.arrivedAtMs;
		this._services = services;
		this._runner = runner;
	}

	/** Transaction status as it has been reported to the session. */
	get status(): TransactionStatus {
		return this._isFailureReported ? 'failed' : 'open';
	}

	/** Whether a write of the transaction was answered. */
	get hasWritten(): boolean {
		return this._hasWritten;
	}

	private get _group(): PrimaryTracker {
		return this._services.trackers.group(this.route.service);
	}

	/** Runs one statement; never rejects. */
	async run(statement: RunnableStatement): Promise<Answer> {
		this._isRunning = true;
		const answer = await this._run(statement);
		this._isRunning = false;
		if (this._failure) {
			this.leave();
		}

		return answer;
	}

	/** Commits; the transaction has ended afterwards, regardless of the outcome. Never rejects. */
	async commit(statement: RunnableStatement): Promise<Answer> {
		this._isRunning = true;
		const answer = await this._commit(statement);
		this._isRunning = false;
		this.leave();
		return answer;
	}

	/** Aborts the transaction from outside the session; the session's next statement is answered with the refusal. */
	abort(refusal: Refusal): void {
		this._failure ??= refusal;
		if (!this._isRunning) {
			this.leave();
		}
	}

	/** Rolls the transaction back without waiting for the answer: its session has abandoned it or is closed. */
	leave(): void {
		void this._held?.rollBack(this._services.options.rollbackTimeoutMs);
		this._held = undefined;
	}

	private async _run(statement: RunnableStatement): Promise<Answer> {
		const refusal = this._failureToReport() ?? await this._ensureBegun(statement);
		if (refusal) {
			return this._fail(refusal);
		}

		const result = await this._runWithBusyRetry(statement);
		if (result.isLeft()) {
			return this._onFault(result.extract());
		}

		const {answer} = result.unsafeCoerce();
		if (statement.access === 'write') {
			this._hasWritten = true;
		}

		if (!this._isAnswerValid) {
			return this._fail(new Refusal('transactionLost', lostLogDetail(this._target!.pool.endpoint.id)));
		}

		return answer.error ? this._onError(answer) : this._onAnswer(answer);
	}

	private async _commit(statement: RunnableStatement): Promise<Answer> {
		const refusal = this._failureToReport(new Refusal('transactionLost', 'the transaction had failed'))
			?? await this._ensureBegun(statement);
		if (refusal) {
			return this._fail(refusal);
		}

		const result = await this._runWithBusyRetry(statement);
		if (result.isLeft()) {
			return this._onCommitFault(result.extract());
		}

		const {answer} = result.unsafeCoerce();
		if (answer.error) {
			return {text: answer.text, position: answer.position};
		}

		this._held?.release();
		this._held = undefined;
		return this._acknowledge(statement, answer);
	}

	private _failureToReport(again = new Refusal('transactionFailed')): Refusal | undefined {
		return this._isFailureReported ? again : this._failure;
	}

	private async _ensureBegun(statement: RunnableStatement): Promise<Refusal | undefined> {
		const refusedBy = new Set<string>();
		let refusal: Refusal | undefined;
		for (let tries = 0; !this._held && tries < this._services.options.maximumDetours; tries++) {
			const target = await this._chooseTarget(statement, refusedBy);
			if (target instanceof Refusal) {
				return refusal ?? target;
			}

			refusal = await this._beginAt(target, statement);
			refusedBy.add(target.pool.endpoint.id);
			if (this._failure) {
				this.leave();
				return this._failure;
			}
		}

		return this._held ? undefined : refusal;
	}

	private async _chooseTarget(statement: RunnableStatement, refusedBy: ReadonlySet<string>): Promise<StatementTarget | Refusal> {
		const group = this._group;
		group.noteUse();
		if (this._isReadOnly && this.route.kind !== 'primary') {
			const target = this._runner.targets.read(group, {...statement, arrivedAtMs: this.arrivedAtMs, refusedBy});
			if (target) {
				return target;
			}
		}

		const primary = await this._runner.ensurePrimaryTarget(group, statement);
		if (!(primary instanceof Refusal) && refusedBy.has(primary.pool.endpoint.id)) {
			return new Refusal('overloaded', `${primary.pool.endpoint.id} takes no transaction`);
		}

		return primary;
	}

	private async _beginAt(target: StatementTarget, statement: RunnableStatement): Promise<Refusal | undefined> {
		const group = this._group;
		const endpointId = target.pool.endpoint.id;
		const term = target.isPrimary ? group.primary?.term : undefined;
		const sentAtMs = this._services.clock.nowMs();
		const result = await target.pool.begin(this._runner.endpointStatement(statement, target.floor), this._isReadOnly);
		if (result.isLeft()) {
			const fault = result.extract();
			this._runner.noteFault(group, endpointId, fault);
			return fault.refusal;
		}

		const begun = result.unsafeCoerce();
		if ('held' in begun) {
			this._held = begun.held;
			this._target = target;
			this._term = term;
			return undefined;
		}

		const {answer} = begun;
		this._runner.noteAnswer(group, endpointId, {answer, sentAtMs});
		return new Refusal(refusalKinds[answer.error?.kind ?? 'other'] ?? 'endpointUnavailable', answer.error?.text ?? 'did not begin a transaction');
	}

	/** Runs a statement and retries it while the endpoint answers that it is busy: aborting the whole transaction would cost more. */
	private async _runWithBusyRetry(statement: RunnableStatement): Promise<Either<StatementFault, TimedAnswer>> {
		const {options, clock} = this._services;
		const group = this._group;
		for (let tries = 1; ; tries++) {
			const result = await this._held!.run(this._runner.endpointStatement(statement));
			const timed = result.toMaybe().extract();
			if (timed) {
				this._isAnswerValid = this._runner.noteAnswer(group, this._target!.pool.endpoint.id, timed);
			}

			const isBusy = timed?.answer.error?.kind === 'busy' && timed.answer.status === 'open';
			const isTimeLeft = statement.deadlineMs - clock.nowMs() > options.leastAttemptMs;
			if (!isBusy || !isTimeLeft || tries >= options.maximumDetours) {
				return result;
			}

			await pauseFor(clock, options.busyPauseMs * tries);
		}
	}

	private _onAnswer(answer: EndpointAnswer): Answer {
		if (answer.status === 'open') {
			return {text: answer.text, position: answer.position};
		}

		return this._fail(new Refusal('transactionLost', 'the endpoint left the transaction'));
	}

	/**
	 * Passes on an error that the endpoint returned; the transaction has failed unless the endpoint reports
	 * it as still open. The connection is closed if the endpoint had lost the prepared statement.
	 */
	private _onError(answer: EndpointAnswer): Answer {
		if (answer.error?.kind === 'unknownStatement') {
			return this._fail(new Refusal('transactionLost', `${this._target!.pool.endpoint.id} had lost a prepared statement`));
		}

		if (answer.status !== 'open') {
			this._failure = new Refusal('transactionFailed');
			this._isFailureReported = true;
			this.leave();
		}

		return {text: answer.text, position: answer.position};
	}

	/** The statement got no answer. Nothing was committed: the transaction is rolled back, or the endpoint does so when its connection closes. */
	private _onFault(fault: StatementFault): Answer {
		this._noteFault(fault);
		const {refusal} = fault;
		return this._fail(refusal.kind === 'messageTooLarge' ? refusal : new Refusal('transactionLost', refusal.detail));
	}

	private _onCommitFault(fault: StatementFault): Answer {
		this._noteFault(fault);
		const isUnknown = fault.isSent && this._hasWritten;
		return this._refuse(new Refusal(isUnknown ? 'outcomeUnknown' : 'transactionLost', fault.refusal.detail));
	}

	private _noteFault(fault: StatementFault): void {
		const group = this._group;
		this._runner.noteFault(group, this._target!.pool.endpoint.id, fault);
		if (fault.isSent) {
			this._held?.close();
			this._held = undefined;
		} else {
			this.leave();
		}
	}

	private async _acknowledge(statement: RunnableStatement, answer: EndpointAnswer): Promise<Answer> {
		if (!this._hasWritten || this._term === undefined) {
			return {text: answer.text, position: answer.position};
		}

		const group = this._group;
		if (!this._isAnswerValid || !await this._runner.mayAcknowledge(statement, group, this._term, answer.position)) {
			return this._refuse(new Refusal('outcomeUnknown', `committed in term ${this._term}, which is no longer proved to stand`));
		}

		return {text: answer.text, position: answer.position, mark: answer.position};
	}

	private _fail(refusal: Refusal): Answer {
		this._failure ??= refusal;
		this._isFailureReported = true;
		this.leave();
		return this._refuse(refusal);
	}

	private _refuse(refusal: Refusal): Answer {
		return {text: this._services.wire.encodeRefusal(refusal), position: undefined, refusal};
	}
}
