/**
 * Serves one instance of a group over TCP, in the platform's line protocol.
 */
import {createServer, type Server, type Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {listenOn} from '../../src/node/listen-on.js';
import type {InstanceMessage} from './instance-grammar.js';
import {LineReader, readMessage} from './instance-grammar.js';
import type {LineInstance} from './line-group.js';
import type {LineInstanceSession} from './line-instance-session.js';
import {resetSocket} from './reset-socket.js';

/** Accepts connections of nodes to one instance. */
export class InstanceServer {
	readonly instance: LineInstance;
	private readonly _workMs: number;
	private readonly _server: Server;
	private readonly _connections = new Set<InstanceConnection>();

	/** Creates a server whose statements each take `workMs` milliseconds. */
	constructor(instance: LineInstance, workMs: number) {
		this.instance = instance;
		this._workMs = workMs;
		this._server = createServer({noDelay: true}, socket => {
			this._accept(socket);
		});
	}

	/** Listens on a free port; resolves to the port. */
	async listen(host: string): Promise<number> {
		return listenOn(this._server, {host, port: 0});
	}

	/** Resets every connection at once, as a crash does. */
	resetConnections(): void {
		for (const connection of this._connections) {
			connection.reset();
		}
	}

	dispose(): void {
		this._server.close();
		this.resetConnections();
	}

	private _accept(socket: Socket): void {
		if (!this.instance.isUp) {
			resetSocket(socket);
			return;
		}

		const connection = new InstanceConnection(socket, this.instance, this._workMs);
		this._connections.add(connection);
		socket.once('close', () => {
			this._connections.delete(connection);
		});
	}
}

/** One connection of a node; its lines are answered one after the other. */
class InstanceConnection {
	private readonly _socket: Socket;
	private readonly _instance: LineInstance;
	private readonly _workMs: number;
	private _session: LineInstanceSession | undefined;
	private _pendingAnswers = Promise.resolve();

	constructor(socket: Socket, instance: LineInstance, workMs: number) {
		this._socket = socket;
		this._instance = instance;
		this._workMs = workMs;
		const reader = new LineReader();
		socket.setEncoding('latin1');
		socket.on('data', (received: string) => {
			const lines = reader.push(received);
			for (const line of lines ?? []) {
				this._pendingAnswers = this._pendingAnswers.then(async () => this._answer(readMessage(line)));
			}

			if (!lines) {
				this.reset();
			}
		});
		socket.on('error', () => {
			// The `close` event follows and is handled below.
		});
		socket.once('close', () => {
			if (this._session) {
				this._instance.close(this._session);
			}
		});
	}

	reset(): void {
		resetSocket(this._socket);
	}

	private async _answer(message: InstanceMessage): Promise<void> {
		if (message.kind === 'startUp') {
			this._startUp(message);
			return;
		}

		if (message.kind !== 'query' || !this._session) {
			this._socket.end();
			return;
		}

		await pause(this._workMs);
		const answer = this._instance.isUp ? this._session.query(message.id, message.text) : undefined;
		if (answer === undefined) {
			this.reset();
		} else if (this._socket.writable) {
			this._socket.write(answer, 'latin1');
		}
	}

	private _startUp({service, user, id}: Extract<InstanceMessage, {kind: 'startUp'}>): void {
		const opened = this._instance.open(service, user, id);
		if (typeof opened === 'string') {
			this._socket.end(`ERROR ${opened}\r\n`);
			return;
		}

		this._session = opened;
		this._socket.write(`READY I ${this._instance.position}\r\n`);
	}
}
