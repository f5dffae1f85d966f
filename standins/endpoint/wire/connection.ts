/**
 * One authenticated connection: request messages in, answers out.
 *
 * Free of sockets, so that a whole endpoint can also run inside one process.
 */
/* eslint-disable @typescript-eslint/naming-convention -- keys are node kinds of the parse tree and names of the protocol. */
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';
import {comparePositions, formatPosition, zeroPosition} from '../../../src/common/positions/log-position.js';
import {reportedParameters} from '../constants.js';
import type {Instance} from '../instance.js';
import type {SqlEngine} from '../sql/engine.js';
import type {StatementResult} from '../sql/plan.js';
import type {ParsedStatement} from '../sql/planner.js';
import {SqlSession, type SessionIdentity} from '../sql/session.js';
import {SqlError} from '../sql/sql-error.js';
import {AnswerWriter} from './answer-writer.js';
import {
	ExtendedProtocol, readExecute, readSubject, type Portal, type Prepared,
} from './extended-protocol.js';
import {FrameReader, type Frame} from './frame-reader.js';
import {MessageReader} from './message-reader.js';
import {findOrder, formatState} from './orders.js';
import type {Slots} from './slots.js';
import {StatementRunner, type ServiceTime} from './statement-runner.js';

/** Where answers go. */
export type ConnectionOutput = {
	write(bytes: Uint8Array): void;
	/** Ends the connection after what was written. */
	end(): void;
};

/** What a connection is for. */
export type ConnectionPurpose = 'control' | 'work' | 'direct';

/** What one connection works with. */
export type ConnectionOptions = {
	readonly engine: SqlEngine;
	readonly slots: Slots;
	readonly serviceTime: ServiceTime;
	readonly purpose: ConnectionPurpose;
	readonly identity: SessionIdentity;
	/** Number that a cancel request must bring. */
	readonly secret: number;
};

/** Answers are handed over together beyond this size even if the input has not ended. */
const flushSizeBytes = 65_536;

/** Called with a message's content; a promise makes the next message wait. */
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
	E: async (connection, body) => connection.execute(body),
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
	private readonly _runner: StatementRunner;
	private readonly _protocol: ExtendedProtocol;
	private readonly _reader = new FrameReader();
	private readonly _writer = new AnswerWriter();
	private readonly _output: ConnectionOutput;
	private readonly _identity: SessionIdentity;
	private _sentPosition = zeroPosition;
	private _isSkippingToSync = false;
	private _isEnded = false;
	private _wake: (() => void) | undefined;

	constructor(options: ConnectionOptions, output: ConnectionOutput) {
		this.purpose = options.purpose;
		this.secret = options.secret;
		this._engine = options.engine;
		this._instance = options.engine.instance;
		this._identity = options.identity;
		this._output = output;
		this._session = new SqlSession(options.engine, options.identity);
		this._protocol = new ExtendedProtocol(options.engine.statements);
		this._runner = new StatementRunner(this._session, options.purpose === 'control' ? undefined : options.slots, options.serviceTime, options.engine.clock);
		this._session.onDeallocate = name => {
			this._protocol.deallocate(name);
		};
	}

	/** Says that authentication is complete and what the endpoint is, then works until disposed. */
	start(): void {
		this._writer.authenticationOk();
		for (const name of ['server_version', 'server_encoding', 'client_encoding', 'DateStyle', 'TimeZone', 'integer_datetimes', 'standard_conforming_strings']) {
			this._writer.parameterStatus(name, this._session.settings.show(name));
		}

		if (this.purpose === 'control') {
			this._writer.parameterStatus(reportedParameters.state, formatState(this._instance.state));
		}

		this._writer.backendKeyData(this._identity.processId, this.secret);
		this._ready();
		this._flush();
		void this._work();
	}

	/** Takes bytes in. */
	receive(bytes: Uint8Array): void {
		this._reader.add(bytes);
		this._wake?.();
	}

	/** Reports the state on a control connection, between whole messages. */
	reportState(): void {
		this._writer.parameterStatus(reportedParameters.state, formatState(this._instance.state));
		this._flush();
	}

	/** Does what a cancel request asks for. */
	cancel(): void {
		this._session.cancelWait(new SqlError('57014', 'canceling statement due to user request'));
	}

	/** Ends the connection with a reason. */
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
			this._wake?.();
		}
	}

	async query(body: Uint8Array): Promise<void> {
		try {
			const statements = this._engine.statements.parse(new MessageReader(body).cString());
			if (statements.length === 0) {
				this._writer.emptyQuery();
			}

			for (const [index, statement] of statements.entries()) {
				await this._querySingle(statement, index === statements.length - 1);
			}
		} catch (error) {
			this._fail(error);
		}

		this._ready();
	}

	parse(body: Uint8Array): void {
		const prepared = this._protocol.parse(body);
		this._describe(prepared);
		this._writer.parseComplete();
	}

	bind(body: Uint8Array): void {
		this._protocol.bind(body, prepared => this._describe(prepared));
		this._writer.bindComplete();
	}

	describe(body: Uint8Array): void {
		const {kind, name} = readSubject(body);
		const prepared = kind === 'S' ? this._protocol.statement(name) : this._protocol.portal(name).prepared;
		const {parameterTypes, columns} = this._describe(prepared);
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
			this._sendPart(portal, rowLimit);
			return;
		}

		const result = this._run(statement, declaredTypes, portal.parameters);
		if (result instanceof Promise) {
			return this._executeLater(result, portal, rowLimit);
		}

		this._keep(result, portal);
		this._sendPart(portal, rowLimit);
	}

	close(body: Uint8Array): void {
		this._protocol.close(body);
		this._writer.closeComplete();
	}

	/** The connection's task: one message after the other. */
	private async _work(): Promise<void> {
		try {
			while (!this._isEnded) {
				const frame = this._reader.next();
				if (frame) {
					const pending = this._handle(frame);
					if (pending) {
						await pending;
					}
				} else {
					this._flush();
					await this._arrival();
				}
			}
		} catch (error) {
			this.shutDown(new SqlError('08P01', String(error)));
		}
	}

	private async _arrival(): Promise<void> {
		await new Promise<void>(resolve => {
			this._wake = resolve;
		});
		this._wake = undefined;
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
			throw new Error(`messages of kind ${code} are not supported`);
		}

		if (!this._isSkippingToSync || code === 'Q') {
			return this._guard(handler, frame.body);
		}
	}

	/** Runs an extended message; its error makes the rest up to Sync be skipped. */
	private _guard(handler: MessageHandler, body: Uint8Array): void | Promise<void> {
		try {
			const pending = handler(this, body);
			return pending ? this._guardLater(pending) : undefined;
		} catch (error) {
			this._fail(error);
			this._isSkippingToSync = true;
		}
	}

	private async _guardLater(pending: Promise<void>): Promise<void> {
		try {
			await pending;
		} catch (error) {
			this._fail(error);
			this._isSkippingToSync = true;
		}
	}

	private _sync(): void {
		const wasSkipping = this._isSkippingToSync;
		this._isSkippingToSync = false;
		if (!wasSkipping) {
			this._finishCycle();
		}

		this._ready();
	}

	private _finishCycle(): void {
		try {
			this._session.finishCycle();
		} catch (error) {
			this._fail(error);
		}
	}

	private async _querySingle(statement: ParsedStatement, isLast: boolean): Promise<void> {
		const {columns} = this._describe({statement, declaredTypes: []});
		const pending = this._run(statement, [], []);
		const {tag, rows} = pending instanceof Promise ? await this._flushed(pending) : pending;
		if (isLast) {
			this._session.finishCycle();
		}

		if (columns && rows) {
			this._writer.rowDescription(columns);
			this._sendRows(rows);
		}

		this._writer.commandComplete(completeTag(tag, rows?.length));
	}

	private _describe({statement, declaredTypes}: Prepared): ReturnType<SqlSession['describe']> {
		const order = statement && this.purpose === 'control' ? findOrder(statement) : undefined;
		if (order) {
			return {parameterTypes: [], columns: order.columns};
		}

		return statement ? this._session.describe(statement, declaredTypes) : {parameterTypes: [], columns: undefined};
	}

	private _run(...[statement, declaredTypes, parameters]: Parameters<StatementRunner['run']>): StatementResult | Promise<StatementResult> {
		const order = this.purpose === 'control' ? findOrder(statement) : undefined;
		return order ? order.run(this._instance, this) : this._runner.run(statement, declaredTypes, parameters);
	}

	/** Hands over the answers of earlier requests before waiting. */
	private async _flushed(pending: Promise<StatementResult>): Promise<StatementResult> {
		this._flush();
		return pending;
	}

	private async _executeLater(pending: Promise<StatementResult>, portal: Portal, rowLimit: number): Promise<void> {
		this._keep(await this._flushed(pending), portal);
		this._sendPart(portal, rowLimit);
	}

	private _keep({tag, rows = []}: StatementResult, portal: Portal): void {
		portal.rest = {rows, tag, sentCount: 0};
	}

	/** Sends as many rows of a portal as were asked for. */
	private _sendPart(portal: Portal, rowLimit: number): void {
		const {rest} = portal;
		if (!rest) {
			return;
		}

		const end = rowLimit > 0 ? Math.min(rest.rows.length, rest.sentCount + rowLimit) : rest.rows.length;
		const part = rest.sentCount === 0 && end === rest.rows.length ? rest.rows : rest.rows.slice(rest.sentCount, end);
		this._sendRows(part);
		rest.sentCount = end;
		if (rowLimit > 0 && part.length === rowLimit) {
			this._writer.portalSuspended();
		} else {
			this._writer.commandComplete(completeTag(rest.tag, part.length));
		}
	}

	private _sendRows(rows: StatementResult['rows'] = []): void {
		for (const row of rows) {
			this._writer.dataRow(row);
			if (this._writer.sizeBytes > flushSizeBytes) {
				this._flush();
			}
		}
	}

	private _fail(error: unknown): void {
		this._session.onError();
		this._writer.error(error instanceof SqlError ? error : new SqlError('XX000', String(error)), 'ERROR');
	}

	private _ready(): void {
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

function completeTag(tag: string, rowCount: number | undefined): string {
	return tag === 'SELECT' ? `SELECT ${rowCount ?? 0}` : tag;
}
