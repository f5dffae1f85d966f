/**
 * Accepts callers of the text protocol and keeps their connections within bounds.
 */
import {createServer, type Server, type Socket} from 'node:net';
import {StatementRunner} from '../../common/line-sessions/statement-runner.js';
import type {LineSessionServices} from '../../common/line-sessions/types.js';
import {pauseFor} from '../../common/lifecycle/timing.js';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {listenOn} from '../listen-on.js';
import {LineCallerConnection} from './line-caller-connection.js';
import type {LineOptions} from './constants.js';

/** Time between two looks for sessions that may be closed. */
const closeCheckIntervalMs = 50;

/** Serves callers on one port. */
export class LineServer implements Disposable {
	private readonly _services: LineSessionServices;
	private readonly _runner: StatementRunner;
	private readonly _options: LineOptions;
	private readonly _server: Server;
	private readonly _connections = new Set<LineCallerConnection>();

	constructor(services: LineSessionServices, options: LineOptions) {
		this._services = services;
		this._runner = new StatementRunner(services);
		this._options = options;
		this._server = createServer({noDelay: true, keepAlive: true, keepAliveInitialDelay: options.keepAliveMs}, socket => {
			this._accept(socket);
		});
	}

	/** Connections that callers have at the moment. */
	get connections(): number {
		return this._connections.size;
	}

	/** Listens; port 0 takes a free one. Resolves with the port. */
	async listen(host: string, port: number): Promise<number> {
		const listenedPort = await listenOn(this._server, {host, port, backlog: this._options.backlog});
		this._services.log.event('callersListening', {host, port: listenedPort});
		return listenedPort;
	}

	/** Closes sessions in which nothing is in progress, a few at a time, so that they return to other nodes. */
	async closeIdleGradually(overMs: number): Promise<void> {
		const {clock} = this._services;
		const endMs = clock.nowMs() + overMs;
		while (this._connections.size > 0 && clock.nowMs() < endMs) {
			const stepsLeft = Math.max(1, (endMs - clock.nowMs()) / closeCheckIntervalMs);
			let toClose = Math.ceil(this._connections.size / stepsLeft);
			for (const link of this._connections) {
				if (toClose > 0 && link.closeIfIdle()) {
					toClose -= 1;
				}
			}

			await pauseFor(clock, closeCheckIntervalMs);
		}
	}

	/** Closes every session in which nothing is in progress at this moment. */
	closeIdleNow(): void {
		for (const link of this._connections) {
			link.closeIfIdle();
		}
	}

	/** Ends the sessions of callers whose keys were revoked. */
	closeRevokedSessions(): void {
		for (const link of this._connections) {
			link.closeIfKeyRevoked();
		}
	}

	/** Takes no new connections, and closes each as soon as nothing is in progress on it. */
	stopAccepting(): void {
		this._server.close();
	}

	/** Rolls back transactions that are still open; their sessions learn why. */
	abortTransactions(): void {
		for (const link of this._connections) {
			link.session?.abortTransaction(new Refusal('shuttingDown'));
		}
	}

	/** Closes every session as soon as nothing is in progress on it; resolves when none is left or the time is over. */
	async closeAllWhenIdle(boundMs: number): Promise<void> {
		const {clock} = this._services;
		const endMs = clock.nowMs() + boundMs;
		while (this._connections.size > 0 && clock.nowMs() < endMs) {
			for (const link of this._connections) {
				link.closeIfIdle();
			}

			await pauseFor(clock, closeCheckIntervalMs / 5);
		}
	}

	dispose(): void {
		this._server.close();
		for (const link of this._connections) {
			link.dispose();
		}
	}

	private _accept(socket: Socket): void {
		if (this._connections.size >= this._options.maximumCallers) {
			this._services.log.event('callerRefused', {reason: 'too many connections', connections: this._connections.size});
			socket.destroy();
			return;
		}

		const link = new LineCallerConnection(socket, this._services, this._runner, this._options);
		this._connections.add(link);
		this._countConnections();
		void link.run().finally(() => {
			this._connections.delete(link);
			this._countConnections();
		});
	}

	private _countConnections(): void {
		this._services.metrics.gauge('callerConnections', this._connections.size);
	}
}
