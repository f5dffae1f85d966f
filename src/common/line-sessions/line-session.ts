/**
 * One caller's session: its settings, prepared statements and open transaction, and the handling of
 * its statements.
 */
import type {HandlersOf} from '../dispatch.js';
import {dispatch} from '../dispatch.js';
import {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import {FirstAttempt} from '../load/first-attempt.js';
import type {Credential} from '../organisations/access-control.js';
import type {PreparedStatement, SessionState} from '../pools/session-state.js';
import {emptySessionState} from '../pools/session-state.js';
import type {LogPosition} from '../positions/log-position.js';
import type {
	CallerMessage, CallerStatement, Route, TransactionStatus,
} from '../services/services.js';
import {SessionTransaction} from './session-transaction.js';
import type {StatementRunner} from './statement-runner.js';
import type {Answer, LineSessionServices, RunnableStatement} from './types.js';

/** A caller's message that contains a statement. */
export type StatementMessage = Extract<CallerMessage, {kind: 'statement'}>;

/** What a session has not finished. */
export type UnfinishedWork = {
	/** The statement that has no answer yet, and for how long in milliseconds; undefined if the caller waits for none. */
	readonly statement?: {readonly id: string; readonly kind: CallerStatement['kind']; readonly ageMs: number};
	/** Time in milliseconds since the open transaction began; undefined without one. */
	readonly transactionAgeMs?: number;
};

/** Kinds of statements that endpoints run, apart from COMMIT. */
const endpointStatements: ReadonlySet<CallerStatement['kind']> = new Set(['read', 'write', 'execute']);

/** Serves the statements of one session, one at a time. */
export class LineSession implements Disposable {
	private readonly _services: LineSessionServices;
	private readonly _runner: StatementRunner;
	private readonly _database: string;
	private readonly _credential: Credential;
	private readonly _state: SessionState = emptySessionState();
	/** Position of the session's last acknowledged commit, by service. */
	private readonly _marks = new Map<string, LogPosition>();
	private readonly _firstAttempt = new FirstAttempt();
	private _transaction: SessionTransaction | undefined;
	/** The statement that is being answered. */
	private _current: {readonly message: StatementMessage; readonly arrivedAtMs: number} | undefined;
	private _idleTimer: Disposable | undefined;
	private _mustCloseConnection = false;
	private _refusesNewWork = false;

	private readonly _handlers: HandlersOf<CallerStatement, Answer | Promise<Answer>, [StatementMessage, number]> = {
		begin: async ({isReadOnly}, message, arrivedAtMs) => this._begin(isReadOnly, arrivedAtMs),
		commit: async (statement, message, arrivedAtMs) => this._commit(message, arrivedAtMs),
		rollback: () => this._rollBack(),
		read: async (statement, message, arrivedAtMs) => this._run(message, {access: 'read'}, arrivedAtMs),
		write: async (statement, message, arrivedAtMs) => this._run(message, {access: 'write'}, arrivedAtMs),
		execute: async (statement, message, arrivedAtMs) => this._execute(message, statement, arrivedAtMs),
		set: ({name, value}) => this._runLocally(() => {
			this._state.values.set(name, value);
		}),
		prepare: ({name, access, shape}) => this._runLocally(() => {
			this._state.prepared.set(name, {access, shape});
		}),
		deallocate: ({name}) => this._runLocally(() => {
			this._state.prepared.delete(name);
		}),
		unknown: () => this._refuse(new Refusal('malformedMessage', 'the statement is not known')),
	};

	constructor(database: string, credential: Credential, services: LineSessionServices, runner: StatementRunner) {
		this._database = database;
		this._credential = credential;
		this._services = services;
		this._runner = runner;
	}

	/** Whether the session has no open transaction. */
	get isIdle(): boolean {
		return this._transaction === undefined;
	}

	/** What would be lost if the session ended now; undefined if nothing is in progress. */
	get unfinished(): UnfinishedWork | undefined {
		const nowMs = this._services.clock.nowMs();
		if (!this._current && !this._transaction) {
			return undefined;
		}

		return {
			statement: this._current && {
				id: this._current.message.id, kind: this._current.message.statement.kind, ageMs: nowMs - this._current.arrivedAtMs,
			},
			transactionAgeMs: this._transaction && nowMs - this._transaction.arrivedAtMs,
		};
	}

	/** Whether the connection must be closed after the current answer: the caller is no longer authenticated, or the node stops and has refused new work. */
	get mustCloseConnection(): boolean {
		return this._mustCloseConnection;
	}

	/** Whether the API key that the session began with has been revoked. */
	get isKeyRevoked(): boolean {
		const {access, catalog} = this._services;
		return access.isRevoked(catalog.route(this._database), this._credential);
	}

	/** Transaction status that is reported to the caller after each answer. */
	get status(): TransactionStatus {
		return this._transaction?.status ?? 'idle';
	}

	/** Answers one statement; never rejects. */
	async handle(message: StatementMessage): Promise<string> {
		const arrivedAtMs = this._services.clock.nowMs();
		this._stopIdleTimer();
		const {statement} = message;
		this._current = {message, arrivedAtMs};
		const answer = await dispatch(this._handlers, statement, message, arrivedAtMs);
		this._current = undefined;
		this._noteAnswer(message, answer, arrivedAtMs);
		this._startIdleTimer();
		const {wire} = this._services;
		return answer.text + wire.encodeReady(this.status, answer.position);
	}

	/** Aborts the open transaction, if there is one; its next statement is answered with the refusal. */
	abortTransaction(refusal: Refusal): void {
		this._transaction?.abort(refusal);
	}

	/** Refuses every transaction and every single statement that arrives from now on, since the node stops; an open transaction goes on. */
	refuseNewWork(): void {
		this._refusesNewWork = true;
	}

	/**
	 * The answer to the statement in progress, from what is certain although its own answer is not there;
	 * undefined without such a statement. The session must not be used any more.
	 */
	interrupt(): string | undefined {
		if (!this._current) {
			return undefined;
		}

		const {statement} = this._current.message;
		const refusal = this._mayTakeEffect(statement) ? new Refusal('outcomeUnknown', 'the node is shutting down') : new Refusal('shuttingDown');
		const status = this._transaction && statement.kind !== 'commit' ? 'failed' : 'idle';
		return this._refuse(refusal).text + this._services.wire.encodeReady(status);
	}

	dispose(): void {
		this._stopIdleTimer();
		this._transaction?.leave();
		this._transaction = undefined;
	}

	private async _begin(isReadOnly: boolean, arrivedAtMs: number): Promise<Answer> {
		if (this._transaction) {
			return this._refuse(new Refusal('malformedMessage', 'a transaction is open already'));
		}

		return this._authorizeAndRun((route, organisation) => {
			this._transaction = new SessionTransaction({
				route, organisation, isReadOnly, arrivedAtMs,
			}, this._services, this._runner);
			return this._complete();
		});
	}

	private async _commit(message: StatementMessage, arrivedAtMs: number): Promise<Answer> {
		const transaction = this._transaction;
		if (!transaction) {
			return this._refuse(new Refusal('malformedMessage', 'no transaction is open'));
		}

		const refusal = await this._checkTransactionAccess(transaction);
		if (refusal) {
			return this._refuse(refusal);
		}

		const answer = await transaction.commit(this._runnable(message, {access: 'write'}, transaction, arrivedAtMs));
		if (answer.mark) {
			this._marks.set(transaction.route.service, answer.mark);
		}

		this._transaction = undefined;
		return answer;
	}

	private _rollBack(): Answer {
		this._transaction?.leave();
		this._transaction = undefined;
		return this._complete();
	}

	private async _execute(
		message: StatementMessage,
		{name, parameters}: Extract<CallerStatement, {kind: 'execute'}>,
		arrivedAtMs: number,
	): Promise<Answer> {
		const prepared = this._state.prepared.get(name);
		if (!prepared) {
			return this._refuse(this.status === 'failed'
				? new Refusal('transactionFailed')
				: new Refusal('unknownStatement', 'no statement of this name is prepared'));
		}

		return this._run(message, {access: prepared.access, call: {prepared, parameters}}, arrivedAtMs);
	}

	private async _run(
		message: StatementMessage,
		kind: {access: 'read' | 'write'; call?: {prepared: PreparedStatement; parameters: string}},
		arrivedAtMs: number,
	): Promise<Answer> {
		const transaction = this._transaction;
		if (transaction) {
			const refusal = await this._checkTransactionAccess(transaction);
			return refusal ? this._refuse(refusal) : transaction.run(this._runnable(message, kind, transaction, arrivedAtMs));
		}

		return this._authorizeAndRun(async (route, organisation) => {
			const answer = await this._runner.run(this._runnable(message, kind, {route, organisation}, arrivedAtMs));
			if (answer.mark) {
				this._marks.set(route.service, answer.mark);
			}

			return answer;
		});
	}

	private _runnable(
		{id, text}: StatementMessage,
		{access, call}: {access: 'read' | 'write'; call?: {prepared: PreparedStatement; parameters: string}},
		{route, organisation}: Pick<RunnableStatement, 'route' | 'organisation'>,
		arrivedAtMs: number,
	): RunnableStatement {
		return {
			id,
			text,
			access,
			call,
			route,
			organisation,
			arrivedAtMs,
			session: this._state,
			caller: organisation ?? this._services.access.nameOf(this._credential),
			mark: this._marks.get(route.service),
			deadlineMs: arrivedAtMs + route.statementTimeoutMs,
			goalAtMs: route.responseGoalMs === undefined ? undefined : this._firstAttempt.firstAtMs(text, arrivedAtMs) + route.responseGoalMs,
		};
	}

	/**
	 * Authorises one operation and runs it. Each transaction, and each statement outside of one, uses the
	 * route that is in force when it arrives, needs a valid API key, and counts as one operation against
	 * the usage limit of its organisation.
	 */
	private async _authorizeAndRun(work: (route: Route, organisation: string | undefined) => Answer | Promise<Answer>): Promise<Answer> {
		if (this._refusesNewWork) {
			this._mustCloseConnection = true;
			return this._refuse(new Refusal('shuttingDown'));
		}

		const {catalog, access, usage} = this._services;
		const route = await catalog.findRoute(this._database);
		if (!route) {
			return this._refuse(new Refusal('unknownGroup', this._database));
		}

		const found = await access.organisation(route, this._credential);
		if (found.isLeft()) {
			return this._refuseAccess(found.extract());
		}

		const organisation = found.unsafeCoerce();
		const refusal = organisation === undefined ? undefined : await usage.take(organisation);
		return refusal ? this._refuse(refusal) : work(route, organisation);
	}

	/**
	 * Checks the API key again for a statement inside an open transaction: the key may have been revoked
	 * or given to another organisation since BEGIN. Resolves to the refusal, after rolling the
	 * transaction back, or to undefined if the statement may run.
	 */
	private async _checkTransactionAccess({route, organisation}: SessionTransaction): Promise<Refusal | undefined> {
		const found = await this._services.access.organisation(route, this._credential);
		if (found.isRight() && found.unsafeCoerce() === organisation) {
			return undefined;
		}

		const refusal = found.isLeft() ? found.extract() : new Refusal('authenticationFailed', 'the API key was given to another organisation');
		this._transaction?.leave();
		this._transaction = undefined;
		this._closeIfUnauthenticated(refusal);
		return refusal;
	}

	private _refuseAccess(refusal: Refusal): Answer {
		this._closeIfUnauthenticated(refusal);
		return this._refuse(refusal);
	}

	/** The connection of a caller without a valid key is closed. It stays open where this node only could not prove that the key is valid: the caller may retry. */
	private _closeIfUnauthenticated({kind}: Refusal): void {
		this._mustCloseConnection ||= kind === 'authenticationFailed';
	}

	/** Whether a statement may take effect although its answer is lost. What is written in a transaction takes effect with its COMMIT only. */
	private _mayTakeEffect(statement: CallerStatement): boolean {
		if (this._transaction) {
			return statement.kind === 'commit' && this._transaction.hasWritten;
		}

		return statement.kind === 'write' || (statement.kind === 'execute' && this._state.prepared.get(statement.name)?.access === 'write');
	}

	/** Runs a statement that only changes the state of the session, without an endpoint; refuses it if the transaction has failed. */
	private _runLocally(act: () => void): Answer {
		if (this.status === 'failed') {
			return this._refuse(new Refusal('transactionFailed'));
		}

		act();
		return this._complete();
	}

	private _complete(): Answer {
		return {text: this._services.wire.encodeCompletion(), position: undefined};
	}

	private _refuse(refusal: Refusal): Answer {
		return {text: this._services.wire.encodeRefusal(refusal), position: undefined, refusal};
	}

	/** Notes how a statement ended that needs an endpoint, so that its retry is recognised. The others, such as the ROLLBACK between two attempts, begin no request. */
	private _noteAttempt({text, statement}: StatementMessage, refusal: Refusal | undefined, arrivedAtMs: number): void {
		const route = this._services.catalog.route(this._database);
		if (route?.responseGoalMs !== undefined && endpointStatements.has(statement.kind)) {
			this._firstAttempt.noteEnd({
				text, arrivedAtMs, goalMs: route.responseGoalMs, timeoutMs: route.statementTimeoutMs, endedAtMs: this._services.clock.nowMs(), retryAfterMs: refusal?.retryAfterMs,
			});
		}
	}

	private _noteAnswer(message: StatementMessage, {refusal}: Answer, arrivedAtMs: number): void {
		const {id, statement} = message;
		const {clock, log, metrics, access, catalog} = this._services;
		const tookMs = clock.nowMs() - arrivedAtMs;
		this._noteAttempt(message, refusal, arrivedAtMs);
		metrics.observe('callerRequestMs', tookMs, {access: statement.kind === 'write' || statement.kind === 'commit' ? 'write' : 'read'});
		if (!refusal) {
			return;
		}

		const {kind, detail, retryAfterMs} = refusal;
		metrics.count('callerRefusalsTotal', {kind});
		log.event('statementRefused', {
			request: id, caller: access.nameOf(this._credential), database: this._database, group: catalog.route(this._database)?.service,
			statement: statement.kind, kind, detail, retryAfterMs, outcome: refusal.answer.outcome, tookMs: Math.round(tookMs), version: catalog.version,
		});
	}

	private _startIdleTimer(): void {
		const {transactionIdleMs} = this._services.catalog;
		if (!this._transaction || transactionIdleMs <= 0) {
			return;
		}

		this._idleTimer = this._services.clock.setTimer(transactionIdleMs, () => {
			this.abortTransaction(new Refusal('transactionTooLong', `idle for ${transactionIdleMs} ms`));
		});
	}

	private _stopIdleTimer(): void {
		this._idleTimer?.dispose();
		this._idleTimer = undefined;
	}
}
