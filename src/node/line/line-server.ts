/**
 * Accepts callers of the text protocol, limits the number of their connections and closes them on a drain.
 */
import {createServer, type Server} from 'node:net';
import {StatementRunner} from '../../common/line-sessions/statement-runner.js';
import type {LineSessionServices} from '../../common/line-sessions/types.js';
import {pauseFor} from '../../common/lifecycle/timing.js';
import {Refusal} from '../../common/errors/error-kinds.js';
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {listenOn} from '../listen-on.js';
import {LineCallerConnection} from './line-caller-connection.js';
import type {LineOptions} from './constants.js';
import type {CallerStream} from './types.js';

/** Interval between two checks for sessions that can be closed. */
const closeCheckIntervalMs = 50;

/** Serves callers on one port. */
export class LineServer implements Disposable {
	private readonly _services: LineSessionServices;
	private readonly _runner: StatementRunner;
	private readonly _options: LineOptions;
	private readonly _server: Server;
	private readonly _connections = new Set<LineCallerConnection>();
	/** Streams of these and of ended connections that are not closed yet, since what was written to them is not sent. */
	private readonly _streams = new Set<CallerStream>();

	constructor(services: LineSessionServices, options: LineOptions) {
		this._services = services;
		this._runner = new StatementRunner(services);
		this._options = options;
		this._server = createServer({noDelay: true, keepAlive: true, keepAliveInitialDelay: options.keepAliveMs}, socket => {
			this.serve(socket);
		});
	}

	/** Number of open caller connections. */
	get connections(): number {
		return this._connections.size;
	}

	/** Listens on a port, or on any free one for port 0; resolves with the port. */
	async listen(host: string, port: number): Promise<number> {
		const listenedPort = await listenOn(this._server, {host, port, backlog: this._options.backlog});
		this._services.log.event('callersListening', {host, port: listenedPort});
		return listenedPort;
	}

	/** Serves a caller that has connected. */
	serve(socket: CallerStream): void {
		if (this._connections.size >= this._options.maximumCallers) {
			this._services.log.event('callerRefused', {reason: 'too many connections', connections: this._connections.size});
			socket.destroy();
			return;
		}

		const connection = new LineCallerConnection(socket, this._services, this._runner, this._options);
		this._connections.add(connection);
		this._streams.add(socket);
		socket.once('close', () => {
			this._streams.delete(socket);
		});
		this._countConnections();
		void connection.run().finally(() => {
			this._connections.delete(connection);
			this._countConnections();
		});
	}

	/** Closes idle sessions a few at a time over a period in ms, so that their callers reconnect to other nodes gradually. */
	async closeIdleGradually(overMs: number): Promise<void> {
		const {clock} = this._services;
		const endMs = clock.nowMs() + overMs;
		while (this._connections.size > 0 && clock.nowMs() < endMs) {
			const stepsLeft = Math.max(1, (endMs - clock.nowMs()) / closeCheckIntervalMs);
			let toClose = Math.ceil(this._connections.size / stepsLeft);
			for (const connection of this._connections) {
				if (toClose > 0 && connection.closeIfIdle()) {
					toClose -= 1;
				}
			}

			await pauseFor(clock, closeCheckIntervalMs);
		}
	}

	/** Closes every session that is idle at this moment. */
	closeIdleNow(): void {
		for (const connection of this._connections) {
			connection.closeIfIdle();
		}
	}

	/** Ends the sessions of callers whose keys were revoked. */
	closeRevokedSessions(): void {
		for (const connection of this._connections) {
			connection.closeIfKeyRevoked();
		}
	}

	/** Accepts no connection any more, and refuses what callers begin on open ones with `shuttingDown`. Open transactions go on. */
	refuseNewWork(): void {
		this._server.close();
		for (const connection of this._connections) {
			connection.refuseNewWork();
		}
	}

	/** Rolls back transactions that are still open, with the refusal `shuttingDown` as the reason. */
	abortTransactions(): void {
		for (const connection of this._connections) {
			connection.session?.abortTransaction(new Refusal('shuttingDown'));
		}
	}

	/** Closes each session as soon as it is idle; resolves when none is left or after `boundMs`. */
	async closeAllWhenIdle(boundMs: number): Promise<void> {
		const {clock} = this._services;
		const endMs = clock.nowMs() + boundMs;
		while (this._connections.size > 0 && clock.nowMs() < endMs) {
			for (const connection of this._connections) {
				connection.closeIfIdle();
			}

			await pauseFor(clock, closeCheckIntervalMs / 5);
		}
	}

	/** Answers the statements that are still in progress with what is certain of them, and closes their connections. */
	interruptAll(): void {
		for (const connection of this._connections) {
			connection.interrupt();
		}
	}

	/** Waits until the answers of ended connections are sent, for `boundMs` at most: a caller may read slowly. */
	async awaitSent(boundMs: number): Promise<void> {
		const {clock} = this._services;
		const endMs = clock.nowMs() + boundMs;
		while (this._streams.size > this._connections.size && clock.nowMs() < endMs) {
			await pauseFor(clock, closeCheckIntervalMs / 5);
		}
	}

	dispose(): void {
		this._server.close();
		for (const connection of this._connections) {
			connection.dispose();
		}
	}

	private _countConnections(): void {
		this._services.metrics.gauge('callerConnections', this._connections.size);
	}
}
