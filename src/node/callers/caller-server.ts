/** Accepts callers and limits the number of their connections. */
import {
	createServer, type Server, type Socket,
} from 'node:net';
import {createSecureContext} from 'node:tls';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {SessionTokenCodec} from '../../common/sessions/session-token.js';
import {loadParser, StatementClassifier} from '../../common/statements/statement-classifier.js';
import {listenOn} from '../listen-on.js';
import {CallerConnection, type ConnectionContext} from './caller-connection.js';
import {callerDefaults, maximumRefusedConnections} from './constants.js';
import {ReceiveBudget} from './receive-budget.js';
import type {CallerOptions, CallerServices} from './types.js';

/** Largest process identifier; callers read it as a signed 32-bit number. */
const maximumProcessId = 0x7F_FF_FF_FF;

/** Serves callers on one port. */
export class CallerServer implements Disposable {
	private readonly _services: CallerServices;
	private readonly _options: CallerOptions;
	private readonly _server: Server;
	private readonly _context: ConnectionContext;
	private readonly _connections = new Map<number, CallerConnection>();
	private _lastProcessId = 0;
	private _onEmpty: (() => void) | undefined;

	constructor(services: CallerServices) {
		this._services = services;
		this._options = {...callerDefaults, ...services.options};
		this._context = this._makeContext();
		this._server = createServer({noDelay: true, keepAlive: true}, socket => {
			void this._accept(socket);
		});
	}

	/** Number of open caller connections. */
	get connections(): number {
		return this._connections.size;
	}

	/** Starts to listen and returns the port; port 0 selects a free one. */
	async listen(host: string, port: number): Promise<number> {
		await loadParser();
		const listenedPort = await listenOn(this._server, {host, port, backlog: 1024});
		this._services.log.event('callersListening', {host, port: listenedPort});
		return listenedPort;
	}

	/**
	 * Accepts no new connections, lets requests and transactions in progress finish, and closes
	 * each connection as soon as it is idle; after `boundMs` all remaining ones are closed.
	 */
	async drain(boundMs: number): Promise<void> {
		this._server.close();
		for (const connection of this._connections.values()) {
			connection.drain();
		}

		if (this._connections.size > 0) {
			await new Promise<void>(resolve => {
				const timer = this._services.clock.setTimer(boundMs, resolve);
				this._onEmpty = () => {
					timer.dispose();
					resolve();
				};
			});
		}

		this.dispose();
	}

	/** Stops listening and closes all connections at once. */
	dispose(): void {
		this._server.close();
		for (const connection of this._connections.values()) {
			connection.dispose();
		}
	}

	private _makeContext(): ConnectionContext {
		const {signer, previousSigners} = this._services;
		return {
			services: this._services,
			options: this._options,
			users: new Map(this._options.users.map(user => [user.name, user])),
			// Shared by all connections, because creating a secure context costs more than a handshake.
			secureContext: this._options.tls && createSecureContext(this._options.tls),
			codec: new SessionTokenCodec(signer, previousSigners),
			classifier: new StatementClassifier(),
			budget: new ReceiveBudget(this._options.maximumBufferedBytes),
			// The load balancer may send a cancel request to a node that does not serve the caller. No
			// connection there has both this identifier and this key, so nothing is cancelled; the
			// connection of the request is closed without a message, as after every cancel request.
			cancel: (processId, secretKey) => {
				this._connections.get(processId)?.cancel(secretKey);
			},
		};
	}

	private async _accept(socket: Socket): Promise<void> {
		const {maximumConnections} = this._options;
		if (this._connections.size >= maximumConnections + maximumRefusedConnections) {
			socket.destroy();
			return;
		}

		const connection = new CallerConnection(socket, this._nextProcessId(), this._context);
		this._connections.set(connection.processId, connection);
		this._countConnections();
		socket.once('close', () => {
			this._remove(connection);
		});
		await connection.run(this._connections.size > maximumConnections);
	}

	private _nextProcessId(): number {
		do {
			this._lastProcessId = (this._lastProcessId % maximumProcessId) + 1;
		} while (this._connections.has(this._lastProcessId));

		return this._lastProcessId;
	}

	private _remove(connection: CallerConnection): void {
		this._connections.delete(connection.processId);
		this._countConnections();
		if (this._connections.size === 0) {
			this._onEmpty?.();
		}
	}

	private _countConnections(): void {
		this._services.metrics.gauge('callerConnections', this._connections.size);
	}
}
