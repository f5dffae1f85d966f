/**
 * One connection of a pool: the session state that it holds, and how a statement is run on it.
 */
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import {withTimeout} from '../lifecycle/timing.js';
import type {
	Clock, ConnectionFault, EndpointAnswer, LineConnection, LineWire, InternalStatement, Log,
} from '../services/services.js';
import type {Disposable} from '../lifecycle/disposable.js';
import type {LogPosition} from '../positions/log-position.js';
import type {PreparedLimits} from './connection-session-state.js';
import {ConnectionSessionState} from './connection-session-state.js';
import type {EndpointStatement} from './types.js';

type ConnectionServices = {
	readonly wire: LineWire;
	readonly clock: Clock;
	readonly log: Log;
	/** Id of the endpoint. */
	readonly endpoint: string;
	readonly preparedLimits: PreparedLimits;
};

/** A word that every hop reads alike. */
const plainWord = /^[!-~]+$/v;

/** A connection together with the session state that it holds. */
export class PooledConnection implements Disposable {
	/** Organisation that the connection belongs to; undefined if it belongs to this node. */
	readonly organisation: string | undefined;
	/** When a statement last used the connection, on the node's clock; control statements count only on connections of the node itself. */
	usedAtMs: number;

	private readonly _connection: LineConnection;
	private readonly _wire: LineWire;
	private readonly _clock: Clock;
	private readonly _log: Log;
	private readonly _endpoint: string;
	private readonly _sessionState: ConnectionSessionState;
	private _isClosed = false;

	constructor(connection: LineConnection, organisation: string | undefined, {wire, clock, log, endpoint, preparedLimits}: ConnectionServices) {
		this._connection = connection;
		this.organisation = organisation;
		this._wire = wire;
		this._clock = clock;
		this._log = log;
		this._endpoint = endpoint;
		this._sessionState = new ConnectionSessionState(preparedLimits);
		this.usedAtMs = clock.nowMs();
		connection.onClose(() => {
			this._isClosed = true;
		});
	}

	/** Whether the connection is open, so that a statement can be sent on it. */
	get isOpen(): boolean {
		return !this._isClosed;
	}

	/** Whether a statement may run on this connection. Both must belong to the same organisation, since the endpoint learns a connection's organisation only when it is opened. */
	isUsableFor({organisation}: EndpointStatement): boolean {
		return this.organisation === organisation;
	}

	/** Whether the connection already holds the state of the statement's session. */
	hasStateOf(statement: EndpointStatement): boolean {
		return this._sessionState.isAppliedFor(statement.session);
	}

	/** Calls the listener when the connection has closed. */
	onClose(listener: () => void): void {
		this._connection.onClose(listener);
	}

	/**
	 * Runs a statement, preceded by the statements that give the connection the state of its session,
	 * all sent in one write. If no answer arrives in time the connection is closed, because it is not
	 * known what is still running on it. Nothing is sent, and the connection stays as it is, if one of
	 * the lines would be longer than the endpoint accepts.
	 */
	async run(statement: EndpointStatement, timeoutMs: number): Promise<Either<ConnectionFault, EndpointAnswer>> {
		const change = this._sessionState.changeFor(statement.session, statement.call?.prepared);
		const requests = [...change.statements.map(item => this._wire.encodeInternal(item)), this._encode(statement, change.name)];
		if (requests.some(request => this._wire.isTooLong(request))) {
			return Left({kind: 'tooLong', detail: 'with a minimum position or the name of a prepared statement'});
		}

		this._sessionState.apply(change);
		this._logUnusualShapes(statement.id, change.statements);
		const result = await this._exchange(requests, timeoutMs);
		return result.chain(answers => {
			const failed = answers.slice(0, -1).find(({error}) => error);
			return failed ? this._failSessionState(failed) : Right(this._checkName(answers.at(-1)!));
		});
	}

	/**
	 * Begins a transaction. The first statement must not be sent before this is answered: an endpoint
	 * that refuses to begin would run the statement outside of any transaction.
	 */
	async begin(isReadOnly: boolean, floor: LogPosition | undefined, timeoutMs: number): Promise<Either<ConnectionFault, EndpointAnswer>> {
		const result = await this.runInternal([{kind: 'begin', isReadOnly, floor}], timeoutMs);
		return result.map(answers => answers[0]);
	}

	/** Sends a control statement, which reads or changes the endpoint's state. It does not count as a use that keeps an organisation's connection open. */
	async control(statement: InternalStatement, timeoutMs: number): Promise<Either<ConnectionFault, readonly EndpointAnswer[]>> {
		const {usedAtMs} = this;
		const result = await this.runInternal([statement], timeoutMs);
		this.usedAtMs = this.organisation === undefined ? this.usedAtMs : usedAtMs;
		return result;
	}

	/** Runs internal statements of the node. */
	async runInternal(statements: readonly InternalStatement[], timeoutMs: number): Promise<Either<ConnectionFault, readonly EndpointAnswer[]>> {
		return this._exchange(statements.map(item => this._wire.encodeInternal(item)), timeoutMs);
	}

	dispose(): void {
		this._isClosed = true;
		this._connection.dispose();
	}

	private _logUnusualShapes(request: string, statements: readonly InternalStatement[]): void {
		for (const statement of statements) {
			if (statement.kind === 'prepare' && !plainWord.test(statement.shape)) {
				const {name, access, shape} = statement;
				this._log.event('statementPrepared', {
					request, endpoint: this._endpoint, name, access, shapeWords: shape.split(' ').length, shapeLength: shape.length,
				});
			}
		}
	}

	private _encode({id, text, call, floor}: EndpointStatement, name: string | undefined): string {
		return call && name !== undefined
			? this._wire.encodeExecute(id, name, call.parameters, floor)
			: this._wire.encodeStatement(id, text, floor);
	}

	/** Closes the connection if the endpoint does not know the name that was executed: it has lost prepared statements, and every further execution would fail. */
	private _checkName(answer: EndpointAnswer): EndpointAnswer {
		if (answer.error?.kind === 'unknownStatement') {
			this.dispose();
		}

		return answer;
	}

	private _failSessionState(failed: EndpointAnswer): Either<ConnectionFault, EndpointAnswer> {
		this.dispose();
		return Left({kind: 'protocol', detail: `endpoint refused to set the session state: ${failed.error?.text ?? ''}`});
	}

	private async _exchange(requests: readonly string[], timeoutMs: number): Promise<Either<ConnectionFault, readonly EndpointAnswer[]>> {
		const result = await withTimeout(this._clock, this._connection.exchange(requests), timeoutMs);
		this.usedAtMs = this._clock.nowMs();
		if (!result) {
			this.dispose();
			return Left({kind: 'silent', detail: `no answer within ${Math.round(timeoutMs)} ms`});
		}

		return result;
	}
}
