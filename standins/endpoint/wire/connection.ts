/**
 * One authenticated connection: receives frontend messages and sends the responses.
 *
 * It uses no sockets, so that an endpoint can also run without a network.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';
import {comparePositions, formatPosition, zeroPosition} from '../../../src/common/positions/log-position.js';
import {reportedParameters} from '../constants.js';
import type {Instance} from '../instance.js';
import type {SqlEngine} from '../sql/engine.js';
import type {StatementResult} from '../sql/plan.js';
import type {ParsedStatement, SimpleQuery} from '../sql/planner.js';
import {SqlSession, type SessionIdentity} from '../sql/session.js';
import {SqlError} from '../sql/sql-error.js';
import {BackendMessageWriter} from './backend-message-writer.js';
import {
	ExtendedProtocol, readExecute, readDescribeTarget, type Portal, type PreparedStatement,
} from './extended-protocol.js';
import {flushSizeBytes, startParameters} from './constants.js';
import type {Frame} from './frame-reader.js';
import {MessagePump} from './message-pump.js';
import {RowSender} from './row-sender.js';
import {MessageReader} from './message-reader.js';
import {formatState} from './control-commands.js';
import {StatementDispatcher} from './statement-dispatcher.js';
import type {ConnectionOptions, ConnectionOutput, ConnectionPurpose} from './types.js';
import {StatementRunner} from './statement-runner.js';

export type {ConnectionOptions, ConnectionOutput, ConnectionPurpose} from './types.js';

/** Handles the body of a message; if it returns a promise, the next message is handled after it. */
type MessageHandler = (connection: Connection, body: Uint8Array) => void | Promise<void>;

const handlers: Readonly<Record<string, MessageHandler>> = {
	Q: async (connection, body) => connection.query(body),
	P(connection, body) {
		connection.parse(body);
	},
	B(connection, body) {
		connection.bind(body);
	},
	D(connection, body) {
		connection.describe(body);
	},
	E: (connection, body) => connection.execute(body), // eslint-disable-line @typescript-eslint/promise-function-async -- most messages need no promise.
	C(connection, body) {
		connection.close(body);
	},
};

/** The server's side of one connection. */
export class Connection implements Disposable {
	readonly purpose: ConnectionPurpose;
	readonly secret: number;
	private readonly _instance: Instance;
	private readonly _engine: SqlEngine;
	private readonly _session: SqlSession;
	private readonly _dispatcher: StatementDispatcher;
	private readonly _protocol: ExtendedProtocol;
	private readonly _pump: MessagePump;
	private readonly _rows: RowSender;
	private readonly _writer = new BackendMessageWriter();
	private readonly _output: ConnectionOutput;
	private readonly _identity: SessionIdentity;
	private _sentPosition = zeroPosition;
	private _isSkippingToSync = false;
	private _isEnded = false;

	constructor(options: ConnectionOptions, output: ConnectionOutput) {
		this.purpose = options.purpose;
		this.secret = options.secret;
		this._engine = options.engine;
		this._instance = options.engine.instance;
		this._identity = options.identity;
		this._output = output;
		this._session = new SqlSession(options.engine, options.identity);
		this._protocol = new ExtendedProtocol(options.engine.statements);
		this._dispatcher = new StatementDispatcher({
			instance: this._instance,
			session: this._session,
			runner: new StatementRunner(this._session, options.purpose === 'control' ? undefined : options.slots, options.serviceTime, options.engine.clock),
			isControl: options.purpose === 'control',
			controlConnection: this,
		});
		this._rows = new RowSender(this._writer, () => {
			this._flush();
		});
		this._pump = new MessagePump({
			handle: async frame => this._handle(frame),
			onInputDrained: () => {
				this._flush();
			},
			onError: error => {
				this.shutDown(new SqlError('08P01', String(error)));
			},
		});
		this._session.onDeallocate = name => {
			this._protocol.deallocate(name);
		};
	}

	/** Completes the start-up phase with the parameters of the endpoint, then handles messages until disposed. */
	start(): void {
		this._writer.authenticationOk();
		for (const name of startParameters) {
			this._writer.parameterStatus(name, this._session.settings.show(name));
		}

		if (this.purpose === 'control') {
			this._writer.parameterStatus(reportedParameters.state, formatState(this._instance.state));
		}

		this._writer.backendKeyData(this._identity.processId, this.secret);
		this._sendReadyForQuery();
		this._flush();
		void this._pump.run();
	}

	/** Handles bytes from the client. */
	receive(bytes: Uint8Array): void {
		this._pump.receive(bytes);
	}

	/** Sends a state report on a control connection, between two messages. Skipped while the output is full. */
	reportState(): void {
		if (this._output.isFull) {
			return;
		}

		this._writer.parameterStatus(reportedParameters.state, formatState(this._instance.state));
		this._flush();
	}

	/** Cancels what the current statement waits for. */
	cancel(): void {
		this._session.cancelWait(new SqlError('57014', 'canceling statement due to user request'));
	}

	/** Sends a fatal error to the client and ends the connection. */
	shutDown(error: SqlError): void {
		if (!this._isEnded) {
			this._writer.error(error, 'FATAL');
			this._flush();
			this._output.end();
			this.dispose();
		}
	}

	dispose(): void {
		if (!this._isEnded) {
			this._isEnded = true;
			this._session.dispose();
			this._instance.attachment.unbind(this);
			this._pump.stop();
		}
	}

	async query(body: Uint8Array): Promise<void> {
		try {
			const text = new MessageReader(body).cString();
			// The arguments of control commands must be constants, so their literals are not parameterised.
			const query = this.purpose === 'control' ? this._engine.statements.parseVerbatim(text) : this._engine.statements.parseSimple(text);
			const {statements} = query;
			if (statements.length === 0) {
				this._writer.emptyQuery();
			}

			for (const [index, statement] of statements.entries()) {
				await this._querySingle(statement, query, index === statements.length - 1);
			}
		} catch (error) {
			this._sendError(error);
		}

		this._sendReadyForQuery();
	}

	parse(body: Uint8Array): void {
		const prepared = this._protocol.parse(body);
		this._dispatcher.describe(prepared);
		this._writer.parseComplete();
	}

	bind(body: Uint8Array): void {
		this._protocol.bind(body, prepared => this._dispatcher.describe(prepared));
		this._writer.bindComplete();
	}

	describe(body: Uint8Array): void {
		const {kind, name} = readDescribeTarget(body);
		const prepared = kind === 'S' ? this._protocol.statement(name) : this._protocol.portal(name).prepared;
		const {parameterTypes, columns} = this._dispatcher.describe(prepared);
		if (kind === 'S') {
			this._writer.parameterDescription(parameterTypes.map(type => type.oid));
		}

		if (columns) {
			this._writer.rowDescription(columns);
		} else {
			this._writer.noData();
		}
	}

	execute(body: Uint8Array): void | Promise<void> {
		const {name, rowLimit} = readExecute(body);
		const portal = this._protocol.portal(name);
		const {statement, declaredTypes} = portal.prepared;
		if (!statement) {
			this._writer.emptyQuery();
			return;
		}

		if (portal.rest) {
			this._rows.sendPortalRows(portal, rowLimit);
			return;
		}

		const result = this._dispatcher.run(statement, declaredTypes, portal.parameters);
		if (result instanceof Promise) {
			return this._awaitExecution(result, portal, rowLimit);
		}

		this._storeResult(result, portal);
		this._rows.sendPortalRows(portal, rowLimit);
	}

	close(body: Uint8Array): void {
		this._protocol.close(body);
		this._writer.closeComplete();
	}

	private _handle(frame: Frame): void | Promise<void> {
		const code = String.fromCodePoint(frame.code);
		if (code === 'X') {
			this._output.end();
			this.dispose();
			return;
		}

		if (code === 'S') {
			this._sync();
			return;
		}

		if (code === 'H') {
			this._flush();
			return;
		}

		const handler = handlers[code] as MessageHandler | undefined;
		if (!handler) {
			throw new Error(`messages of type ${code} are not supported`);
		}

		if (!this._isSkippingToSync || code === 'Q') {
			return this._runExtendedMessage(handler, frame.body);
		}
	}

	/** Runs a message of the extended protocol; after an error, all messages up to the next Sync are skipped. */
	private _runExtendedMessage(handler: MessageHandler, body: Uint8Array): void | Promise<void> {
		try {
			const pending = handler(this, body);
			return pending ? this._awaitExtendedMessage(pending) : undefined;
		} catch (error) {
			this._sendError(error);
			this._isSkippingToSync = true;
		}
	}

	private async _awaitExtendedMessage(pending: Promise<void>): Promise<void> {
		try {
			await pending;
		} catch (error) {
			this._sendError(error);
			this._isSkippingToSync = true;
		}
	}

	private _sync(): void {
		const wasSkipping = this._isSkippingToSync;
		this._isSkippingToSync = false;
		if (!wasSkipping) {
			this._commitImplicitTransaction();
		}

		this._sendReadyForQuery();
	}

	private _commitImplicitTransaction(): void {
		try {
			this._session.commitImplicitTransaction();
		} catch (error) {
			this._sendError(error);
		}
	}

	private async _querySingle(statement: ParsedStatement, {declaredTypes, literalTexts}: SimpleQuery, isLast: boolean): Promise<void> {
		const {columns, parameterTypes} = this._dispatcher.describe({statement, declaredTypes});
		if (parameterTypes.length > literalTexts.length) {
			throw new SqlError('42P02', `there is no parameter $${literalTexts.length + 1}`);
		}

		const parameters = literalTexts.map((text, index) => parameterTypes[index].read(text));
		const pending = this._dispatcher.run(statement, declaredTypes, parameters);
		const result = pending instanceof Promise ? await this._flushAndAwait(pending) : pending;
		if (isLast) {
			this._session.commitImplicitTransaction();
		}

		if (columns) {
			this._writer.rowDescription(columns);
		}

		this._rows.sendResult(result);
	}

	/** Sends the responses of earlier requests before waiting. */
	private async _flushAndAwait(pending: Promise<StatementResult>): Promise<StatementResult> {
		this._flush();
		return pending;
	}

	private async _awaitExecution(pending: Promise<StatementResult>, portal: Portal, rowLimit: number): Promise<void> {
		this._storeResult(await this._flushAndAwait(pending), portal);
		this._rows.sendPortalRows(portal, rowLimit);
	}

	private _storeResult({tag, rows = []}: StatementResult, portal: Portal): void {
		portal.rest = {rows, tag, sentCount: 0};
	}

	private _sendError(error: unknown): void {
		this._session.failTransaction();
		this._writer.error(error instanceof SqlError ? error : new SqlError('XX000', String(error)), 'ERROR');
	}

	private _sendReadyForQuery(): void {
		const {status} = this._session;
		const {applied} = this._instance;
		if (status === 'I') {
			this._protocol.dropPortals();
		}

		if (this.purpose !== 'control' && status === 'I' && comparePositions(applied, this._sentPosition) !== 0) {
			this._sentPosition = applied;
			this._writer.parameterStatus(reportedParameters.position, formatPosition(applied));
		}

		this._writer.readyForQuery(status);
		if (this._writer.sizeBytes > flushSizeBytes) {
			this._flush();
		}
	}

	private _flush(): void {
		if (this._writer.sizeBytes > 0 && !this._isEnded) {
			this._output.write(this._writer.take());
		}
	}
}
