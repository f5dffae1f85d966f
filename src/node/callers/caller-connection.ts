/** One caller's connection, from accept to close, served by one sequential task. */
import {randomInt} from 'node:crypto';
import type {Socket} from 'node:net';
import type {SecureContext} from 'node:tls';
import {Refusal} from '../../common/errors/error-kinds.js';
import {DisposableStore, type Disposable} from '../../common/lifecycle/disposable.js';
import {CallerSession} from '../../common/sessions/caller-session.js';
import {TokenSessionMarks} from '../../common/sessions/token-session-marks.js';
import {readParameter, writeParameter} from '../../common/sessions/session-parameters.js';
import type {SessionTokenCodec} from '../../common/sessions/session-token.js';
import {
	errorResponse, joinFrames, parameterStatus, readyForQuery,
} from '../../common/statements/frames.js';
import type {StatementClassifier} from '../../common/statements/statement-classifier.js';
import {AnswerWriter} from './answer-writer.js';
import {closeGraceMs} from './constants.js';
import {CycleRunner} from './cycle-runner.js';
import type {FrameReader} from './frame-reader.js';
import type {ReceiveBudget} from './receive-budget.js';
import {RequestHandler, type Continuation} from './request-handler.js';
import {readSettings} from './start-up-parameters.js';
import {
	authenticationOk, backendKeyData, StartUp, type AuthenticatedCaller,
} from './start-up.js';
import type {CallerOptions, CallerServices, CallerUser} from './types.js';

/** What all connections of a server share. */
export type ConnectionContext = {
	readonly services: CallerServices;
	readonly options: CallerOptions;
	readonly users: ReadonlyMap<string, CallerUser>;
	readonly secureContext: SecureContext | undefined;
	readonly codec: SessionTokenCodec;
	readonly classifier: StatementClassifier;
	readonly budget: ReceiveBudget;
	/** Passes a cancel request on to the connection that it names. */
	cancel(processId: number, secretKey: number): void;
};

/** Parameters whose values a caller receives at the end of start-up, in addition to the session token. */
const startUpParameterNames = ['client_encoding', 'DateStyle', 'IntervalStyle', 'TimeZone', 'standard_conforming_strings', 'application_name'];

/** Serves one caller. */
export class CallerConnection implements Disposable {
	/** Identifies the connection in cancel requests, together with the secret key. */
	readonly processId: number;
	readonly secretKey = randomInt(2 ** 31);
	private readonly _context: ConnectionContext;
	private readonly _store = new DisposableStore();
	private _socket: Socket;
	private _runner: CycleRunner | undefined;
	private _handler: RequestHandler | undefined;
	private _reader: FrameReader | undefined;
	private _isAwaitingMessage = false;
	private _isDraining = false;

	constructor(socket: Socket, processId: number, context: ConnectionContext) {
		this._socket = socket;
		this.processId = processId;
		this._context = context;
		// Without a listener, a socket error would end the process. The socket emits `close` after it.
		socket.on('error', () => undefined);
	}

	/** Serves the caller until its connection is closed. */
	async run(isFull: boolean): Promise<void> {
		try {
			await this._serve(isFull);
		} catch (error) {
			this._context.services.log.event('callerFailed', {error: String(error)});
			this._closeWithError(new Refusal('invariantViolated'));
		} finally {
			this._runner?.cancel();
			this._store.dispose();
		}
	}

	/** Cancels the request in progress if the key matches. */
	cancel(secretKey: number): void {
		if (secretKey === this.secretKey) {
			this._runner?.cancel();
		}
	}

	/** Closes the connection as soon as it is between requests and outside a transaction. */
	drain(): void {
		this._isDraining = true;
		if (this._isAwaitingMessage && this._isDrainable()) {
			this._closeForShutdown();
		}
	}

	/** Sends a last error and closes the connection at once. */
	dispose(): void {
		this._closeWithError(new Refusal('shuttingDown'));
		this._socket.destroy();
	}

	private async _serve(isFull: boolean): Promise<void> {
		const caller = await this._startUp(isFull);
		if (!caller) {
			return;
		}

		this._socket = caller.socket;
		this._socket.on('error', () => undefined);
		const session = this._open(caller);
		if (session) {
			await this._serveSession(caller, session);
		}
	}

	private async _startUp(isFull: boolean): Promise<AuthenticatedCaller | undefined> {
		const {
			options, users, secureContext, services, budget,
		} = this._context;
		const timer = services.clock.setTimer(options.startUpTimeoutMs, () => {
			this._socket.destroy();
		});
		const end = await new StartUp(this._socket, {
			options, users, secureContext, budget, isAtCallerLimit: isFull,
		}).run();
		timer.dispose();
		if (end.kind === 'started') {
			return end;
		}

		if (end.kind === 'refused') {
			services.log.event('callerRefused', {kind: end.refusal.kind, address: end.socket.remoteAddress});
			this._socket = end.socket;
			this._closeWithError(end.refusal);
			return undefined;
		}

		if (end.kind === 'cancel') {
			this._context.cancel(end.processId, end.secretKey);
		}

		this._close();
		return undefined;
	}

	/** Creates the session that the start-up message asks for; undefined if it was refused. */
	private _open(caller: AuthenticatedCaller): CallerSession | undefined {
		const {services, options, codec} = this._context;
		const group = caller.parameters.database ?? caller.user;
		if (!services.configuration.group(group)) {
			this._closeWithError(new Refusal('unknownGroup', group));
			return undefined;
		}

		const {name, incarnation, availabilityZone} = services.node;
		const session = new CallerSession(
			`${name}/${incarnation}/${this.processId}`,
			{
				user: caller.user, applicationName: '', availabilityZone, labels: caller.labels,
			},
			group,
			new TokenSessionMarks(codec, group, options.tokenlessReads),
		);
		for (const [parameter, value] of readSettings(caller.parameters)) {
			const refusal = writeParameter(session, parameter, value);
			if (refusal) {
				this._closeWithError(refusal);
				return undefined;
			}
		}

		return session;
	}

	private async _serveSession(caller: AuthenticatedCaller, session: CallerSession): Promise<void> {
		const {services, options, classifier} = this._context;
		const writer = new AnswerWriter(this._socket, services.clock, options.answerStallMs);
		this._runner = new CycleRunner(session, writer, services);
		this._handler = new RequestHandler(session, this._runner, classifier);
		this._reader = caller.reader;
		this._store.register(caller.reader);
		this._store.register({
			dispose() {
				services.router.close(session);
			},
		});
		this._socket.once('close', () => {
			this._runner?.cancel();
		});
		this._socket.write(this._startUpResponse(session));
		await this._handleMessages(caller.reader, this._handler);
	}

	private async _handleMessages(reader: FrameReader, handler: RequestHandler): Promise<void> {
		let continuation: Continuation = 'goOn';
		while (continuation === 'goOn') {
			// Awaits only if there is something to wait for, which saves turns of the event loop.
			let frame = reader.take();
			if (!frame) {
				if (this._isDraining && this._isDrainable()) {
					this._closeForShutdown();
					return;
				}

				this._isAwaitingMessage = true;

				frame = await reader.next();
				this._isAwaitingMessage = false;
			}

			if (!frame) {
				this._endOfInput(reader);
				return;
			}

			const handled = handler.handle(frame);

			continuation = typeof handled === 'string' ? handled : await handled;
			if (handler.isBetweenCycles) {
				reader.releaseTaken();
			}
		}

		this._close();
	}

	private _endOfInput(reader: FrameReader): void {
		if (reader.fault) {
			this._closeWithError(reader.fault);
			return;
		}

		this._close();
	}

	private _startUpResponse(session: CallerSession): Uint8Array {
		const statuses = startUpParameterNames.map(name => parameterStatus(name, readParameter(session, name)));
		const token = session.marks.takeChangedToken();
		return joinFrames([
			authenticationOk,
			parameterStatus('server_version', this._context.options.serverVersion),
			parameterStatus('server_encoding', readParameter(session, 'client_encoding')),
			parameterStatus('integer_datetimes', 'on'),
			...statuses,
			...(token === undefined ? [] : [parameterStatus('quetzalstream.token', token)]),
			backendKeyData(this.processId, this.secretKey),
			readyForQuery('idle'),
		]);
	}

	private _isDrainable(): boolean {
		return this._handler?.isIdle === true && this._reader?.isEmpty === true;
	}

	private _closeForShutdown(): void {
		this._closeWithError(new Refusal('shuttingDown'));
	}

	/** Sends a last error and closes the connection. */
	private _closeWithError(refusal: Refusal): void {
		if (!this._socket.writableEnded && !this._socket.destroyed) {
			this._socket.write(errorResponse(refusal, 'FATAL'));
		}

		this._close();
	}

	/** Closes the connection after the data written so far has been sent. */
	private _close(): void {
		const socket = this._socket;
		// The caller may have sent a request before it received the last message. It takes that message
		// for the answer, so the request must not run.
		this._reader?.dispose();
		socket.end();
		const timer = this._context.services.clock.setTimer(closeGraceMs, () => {
			socket.destroy();
		});
		socket.once('close', () => {
			timer.dispose();
		});
	}
}
