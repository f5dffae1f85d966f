/**
 * One caller's connection: a single task reads the messages and writes the answers, in order.
 */
import type {HandlersOf} from '../../common/dispatch.js';
import {dispatch} from '../../common/dispatch.js';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {StatementMessage} from '../../common/line-sessions/line-session.js';
import {LineSession} from '../../common/line-sessions/line-session.js';
import type {StatementRunner} from '../../common/line-sessions/statement-runner.js';
import type {LineSessionServices} from '../../common/line-sessions/types.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import type {CallerMessage} from '../../common/services/services.js';
import type {LineOptions} from './constants.js';
import {LineSplitter, LineTooLongError} from './line-splitter.js';
import type {CallerStream} from './types.js';

/** Whether the connection goes on after a message. */
type Continuation = 'goesOn' | 'ends';

/** Serves one connection until either side ends it. */
export class LineCallerConnection implements Disposable {
	private readonly _socket: CallerStream;
	private readonly _services: LineSessionServices;
	private readonly _runner: StatementRunner;
	private readonly _options: LineOptions;
	private readonly _splitter: LineSplitter;
	private readonly _unread: string[] = [];
	/** A line that was too long; nothing that follows it is read. */
	private _longLine: LineTooLongError | undefined;
	private _session: LineSession | undefined;
	private _reader: (() => void) | undefined;
	private _isClosed = false;
	private _isBusy = false;
	private _refusesNewWork = false;
	private _socketError: string | undefined;

	private readonly _handlers: HandlersOf<CallerMessage, Promise<Continuation>> = {
		startUp: async message => this._startUp(message.database, message.user),
		statement: async message => this._statement(message),
		terminate: async () => 'ends',
		malformed: async ({reason}) => this._malformed(reason),
	};

	constructor(socket: CallerStream, services: LineSessionServices, runner: StatementRunner, options: LineOptions) {
		this._socket = socket;
		this._services = services;
		this._runner = runner;
		this._options = options;
		this._splitter = new LineSplitter(services.wire.maximumLineBytes);
		socket.on('data', (chunk: Uint8Array) => {
			this._onData(chunk);
		});
		socket.on('error', error => {
			this._socketError = error.message;
		});
		socket.on('end', () => {
			this._close();
		});
		socket.on('close', () => {
			this._close();
		});
	}

	/** The caller's session; undefined before its start-up message. */
	get session(): LineSession | undefined {
		return this._session;
	}

	/** Serves until the connection ends; never rejects. */
	async run(): Promise<void> {
		const {clock, log} = this._services;
		const startUpTimer = clock.setTimer(this._options.startUpTimeoutMs, () => {
			if (!this._session) {
				this._close();
			}
		});
		try {
			await this._serve();
		} catch (error) {
			log.event('callerFailed', {error});
		} finally {
			startUpTimer.dispose();
			this._session?.dispose();
			this._close();
		}
	}

	/**
	 * Ends the session of a caller whose key was revoked: at once if nothing is in progress, otherwise
	 * with its next statement.
	 */
	closeIfKeyRevoked(): void {
		if (this._session?.isKeyRevoked === true) {
			this._services.log.event('callerKeyRevoked', {closed: this.closeIfIdle()});
		}
	}

	/** Closes the connection if nothing is in progress on it; returns whether it did. */
	closeIfIdle(): boolean {
		const isIdle = !this._isClosed && this._session !== undefined && this._session.isIdle && !this._isBusy
			&& this._unread.length === 0 && this._splitter.bufferedBytes === 0;
		if (isIdle) {
			this._close();
		}

		return isIdle;
	}

	/** Refuses what the caller begins from now on, and closes the connection after that answer. */
	refuseNewWork(): void {
		this._refusesNewWork = true;
		this._session?.refuseNewWork();
	}

	/** Answers the statement in progress with what is certain of it, and closes the connection. */
	interrupt(): void {
		const answer = this._session?.interrupt();
		if (answer !== undefined) {
			this._write(answer);
			this._close();
		}
	}

	dispose(): void {
		const unfinished = this._isClosed ? undefined : this._session?.unfinished;
		if (unfinished) {
			const {statement, transactionAgeMs} = unfinished;
			this._services.metrics.count('sessionsCutTotal', {during: statement ? 'statement' : 'transaction'});
			this._services.log.event('sessionCut', {
				request: statement?.id, statement: statement?.kind, statementAgeMs: statement?.ageMs, transactionAgeMs,
			});
		}

		this._close();
	}

	private async _serve(): Promise<void> {
		for (;;) {
			const line = await this._nextLine();
			if (line === undefined) {
				this._refuseLongLine();
				return;
			}

			this._isBusy = true;
			const message = this._services.wire.decodeCaller(line);
			const continuation = await dispatch(this._handlers, message);
			this._isBusy = false;
			// Statements that were sent ahead are answered too.
			const isLast = this._session?.mustCloseConnection === true && this._unread.length === 0;
			if (continuation === 'ends' || isLast) {
				return;
			}
		}
	}

	private async _startUp(database: string, user: string): Promise<Continuation> {
		const {catalog, wire, log, access} = this._services;
		if (this._session) {
			return this._malformed('a second start-up');
		}

		if (this._refusesNewWork) {
			this._write(wire.encodeRefusal(new Refusal('shuttingDown')));
			return 'ends';
		}

		const route = await catalog.findRoute(database);
		if (!route) {
			log.event('callerRefused', {database, reason: 'unknown database', version: catalog.version});
			this._write(wire.encodeRefusal(new Refusal('unknownGroup', database)));
			return 'ends';
		}

		const credential = access.createCredential(user);
		const denied = await access.organisation(route, credential);
		if (denied.isLeft()) {
			const refusal = denied.extract();
			log.event('callerRefused', {database, reason: refusal.kind, version: catalog.version});
			this._write(wire.encodeRefusal(refusal));
			return 'ends';
		}

		this._session = new LineSession(database, credential, this._services, this._runner);
		if (this._refusesNewWork) {
			this._session.refuseNewWork();
		}

		this._write(wire.encodeReady('idle'));
		return 'goesOn';
	}

	private async _statement(message: StatementMessage): Promise<Continuation> {
		if (!this._session) {
			return this._malformed('a statement before the start-up');
		}

		const answer = await this._session.handle(message);
		this._write(answer);
		return this._isClosed ? 'ends' : 'goesOn';
	}

	/** Refuses a malformed message and ends the connection, since the bytes that follow can't be interpreted reliably. */
	private async _malformed(reason: string): Promise<Continuation> {
		const {wire, log} = this._services;
		log.event('callerRefused', {reason});
		this._write(wire.encodeRefusal(new Refusal('malformedMessage', reason)));
		return 'ends';
	}

	/** Refuses a line that was too long, after what the caller sent before it is answered. */
	private _refuseLongLine(): void {
		if (this._longLine) {
			const {log, wire} = this._services;
			log.event('callerRefused', {reason: String(this._longLine)});
			this._write(wire.encodeRefusal(new Refusal('messageTooLarge', String(this._longLine))));
		}
	}

	private _write(text: string): void {
		if (!this._socket.destroyed && this._socket.writable) {
			this._socket.write(text, 'latin1');
		}
	}

	private async _nextLine(): Promise<string | undefined> {
		while (this._unread.length === 0) {
			if (this._isClosed || this._longLine) {
				return undefined;
			}

			this._socket.resume();
			await new Promise<void>(resolve => {
				this._reader = resolve;
			});
		}

		return this._unread.shift();
	}

	private _onData(chunk: Uint8Array): void {
		if (this._isClosed || this._longLine) {
			return;
		}

		try {
			this._unread.push(...this._splitter.push(chunk));
		} catch (error) {
			if (!(error instanceof LineTooLongError)) {
				throw error;
			}

			this._longLine = error;
			this._unread.push(...error.precedingLines);
		}

		const isReadAheadExceeded = this._unread.reduce((sum, line) => sum + line.length, 0) > this._options.maximumAheadBytes;
		if (this._isBusy && isReadAheadExceeded) {
			this._socket.pause();
		}

		this._wakeReader();
	}

	/** Closes the socket after pending writes, or at once after a socket error; the task notices this with its next read. */
	private _close(): void {
		if (this._isClosed) {
			return;
		}

		this._isClosed = true;
		if (this._socketError === undefined) {
			this._socket.end();
			this._socket.destroySoon();
		} else {
			this._socket.destroy();
		}

		this._wakeReader();
	}

	private _wakeReader(): void {
		const reader = this._reader;
		this._reader = undefined;
		reader?.();
	}
}
