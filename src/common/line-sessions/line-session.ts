/**
 * One caller's session: what it set, prepared and began, and the answers to its statements.
 */
import type {HandlersOf} from '../dispatch.js';
import {dispatch} from '../dispatch.js';
import {Refusal} from '../errors/error-kinds.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {PreparedStatement, SessionState} from '../pools/session-state.js';
import {emptySessionState} from '../pools/session-state.js';
import type {LogPosition} from '../positions/log-position.js';
import type {
	CallerMessage, CallerStatement, Route, TransactionStatus,
} from '../services/services.js';
import {SessionTransaction} from './session-transaction.js';
import type {StatementRunner} from './statement-runner.js';
import type {Answer, LineSessionServices, RunnableStatement} from './types.js';

/** A message that holds a statement. */
export type StatementMessage = Extract<CallerMessage, {kind: 'statement'}>;

/** Serves the statements of one session, one at a time. */
export class LineSession implements Disposable {
	private readonly _services: LineSessionServices;
	private readonly _runner: StatementRunner;
	private readonly _database: string;
	private readonly _caller: string;
	private readonly _state: SessionState = emptySessionState();
	/** Position of the session's last commit, by service. */
	private readonly _marks = new Map<string, LogPosition>();
	private _transaction: SessionTransaction | undefined;
	private _idleTimer: Disposable | undefined;

	private readonly _handlers: HandlersOf<CallerStatement, Answer | Promise<Answer>, [StatementMessage, number]> = {
		begin: async ({isReadOnly}, message, arrivedAtMs) => this._begin(isReadOnly, arrivedAtMs),
		commit: async (statement, message, arrivedAtMs) => this._commit(message, arrivedAtMs),
		rollback: () => this._rollBack(),
		read: async (statement, message, arrivedAtMs) => this._run(message, {access: 'read'}, arrivedAtMs),
		write: async (statement, message, arrivedAtMs) => this._run(message, {access: 'write'}, arrivedAtMs),
		execute: async (statement, message, arrivedAtMs) => this._execute(message, statement, arrivedAtMs),
		set: ({name, value}) => this._local(() => {
			this._state.values.set(name, value);
		}),
		prepare: ({name, access, shape}) => this._local(() => {
			this._state.prepared.set(name, {access, shape});
		}),
		deallocate: ({name}) => this._local(() => {
			this._state.prepared.delete(name);
		}),
		unknown: () => this._refuse(new Refusal('malformedMessage', 'the statement is not known')),
	};

	constructor(database: string, caller: string, services: LineSessionServices, runner: StatementRunner) {
		this._database = database;
		this._caller = caller;
		this._services = services;
		this._runner = runner;
	}

	/** Whether the session is in no transaction. */
	get isIdle(): boolean {
		return this._transaction === undefined;
	}

	/** State that callers are told after each answer. */
	get status(): TransactionStatus {
		return this._transaction?.status ?? 'idle';
	}

	/** Answers one statement; never rejects. */
	async handle(message: StatementMessage): Promise<string> {
		const arrivedAtMs = this._services.clock.nowMs();
		this._stopIdleTimer();
		const {statement} = message;
		const answer = await dispatch(this._handlers, statement, message, arrivedAtMs);
		this._noteAnswer(message, answer, arrivedAtMs);
		this._startIdleTimer();
		const {wire} = this._services;
		return answer.text + wire.encodeReady(this.status, answer.position);
	}

	/** Ends an open transaction from outside: its next statement learns why. */
	abortTransaction(refusal: Refusal): void {
		this._transaction?.abort(refusal);
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

		return this._withRoute(route => {
			this._transaction = new SessionTransaction({route, isReadOnly, arrivedAtMs}, this._services, this._runner);
			return this._complete();
		});
	}

	private async _commit(message: StatementMessage, arrivedAtMs: number): Promise<Answer> {
		const transaction = this._transaction;
		if (!transaction) {
			return this._refuse(new Refusal('malformedMessage', 'no transaction is open'));
		}

		const answer = await transaction.commit(this._runnable(message, {access: 'write'}, transaction.route, arrivedAtMs));
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
			return this._refuse(new Refusal('unknownStatement', 'no statement of this name is prepared'));
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
			return transaction.run(this._runnable(message, kind, transaction.route, arrivedAtMs));
		}

		return this._withRoute(async route => {
			const answer = await this._runner.run(this._runnable(message, kind, route, arrivedAtMs));
			if (answer.mark) {
				this._marks.set(route.service, answer.mark);
			}

			return answer;
		});
	}

	private _runnable(
		{id, text}: StatementMessage,
		{access, call}: {access: 'read' | 'write'; call?: {prepared: PreparedStatement; parameters: string}},
		route: Route,
		arrivedAtMs: number,
	): RunnableStatement {
		return {
			id,
			text,
			access,
			call,
			route,
			arrivedAtMs,
			session: this._state,
			caller: this._caller,
			mark: this._marks.get(route.service),
			deadlineMs: arrivedAtMs + route.statementTimeoutMs,
		};
	}

	/** Each transaction and each single statement goes by the route in force when it comes. */
	private async _withRoute(work: (route: Route) => Answer | Promise<Answer>): Promise<Answer> {
		const route = await this._services.catalog.findRoute(this._database);
		return route ? work(route) : this._refuse(new Refusal('unknownGroup', this._database));
	}

	/** What concerns the session alone is answered here, unless its transaction has failed. */
	private _local(act: () => void): Answer {
		if (this._transaction?.status === 'failed') {
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

	private _noteAnswer({id, statement}: StatementMessage, {refusal}: Answer, arrivedAtMs: number): void {
		const {clock, log, metrics} = this._services;
		const access = statement.kind === 'write' || statement.kind === 'commit' ? 'write' : 'read';
		const tookMs = clock.nowMs() - arrivedAtMs;
		metrics.observe('callerRequestMs', tookMs, {access});
		if (!refusal) {
			return;
		}

		const {kind, detail, retryAfterMs} = refusal;
		metrics.count('callerRefusalsTotal', {kind});
		log.event('statementRefused', {
			request: id, caller: this._caller, database: this._database, group: this._services.catalog.route(this._database)?.service, statement: statement.kind, kind, detail, retryAfterMs,
			outcome: refusal.answer.outcome, tookMs: Math.round(tookMs), version: this._services.catalog.version,
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
