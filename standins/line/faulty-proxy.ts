/**
 * A TCP proxy on loopback between a node and what it calls, whose connections can be
 * delayed, reset, silenced, or cut in one direction.
 */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {listenOn} from '../../src/node/listen-on.js';
import {resetSocket} from './reset-socket.js';

/** What happens to bytes on their way. */
export type ProxyMode = 'pass' | 'slow' | 'silent' | 'cutToServer' | 'cutToCaller' | 'refuse';

type Passing = {
	readonly toServer: boolean;
	readonly toCaller: boolean;
	readonly delayMs: number;
};

/** Delay of slow links, in milliseconds: well above a hop between zones, below the nodes' time-outs. */
const slowMs = 60;

const passings: Record<ProxyMode, Passing> = {
	pass: {toServer: true, toCaller: true, delayMs: 0},
	slow: {toServer: true, toCaller: true, delayMs: slowMs},
	silent: {toServer: false, toCaller: false, delayMs: 0},
	cutToServer: {toServer: false, toCaller: true, delayMs: 0},
	cutToCaller: {toServer: true, toCaller: false, delayMs: 0},
	refuse: {toServer: false, toCaller: false, delayMs: 0},
};

/** Forwards connections to one address. Bytes that a cut swallows are lost for their connection. */
export class FaultyProxy {
	mode: ProxyMode = 'pass';
	private readonly _target: {readonly host: string; readonly port: number};
	private readonly _server: Server;
	private readonly _sockets = new Set<Socket>();

	constructor(target: {readonly host: string; readonly port: number}) {
		this._target = target;
		this._server = createServer({noDelay: true}, socket => {
			this._accept(socket);
		});
	}

	/** Listens on a free port; resolves with it. */
	async listen(host: string): Promise<number> {
		return listenOn(this._server, {host, port: 0});
	}

	/** Resets every open connection. */
	reset(): void {
		for (const socket of this._sockets) {
			resetSocket(socket);
		}
	}

	dispose(): void {
		this._server.close();
		this.reset();
	}

	private _accept(caller: Socket): void {
		if (this.mode === 'refuse') {
			resetSocket(caller);
			return;
		}

		const server = connect({...this._target, noDelay: true});
		this._join(caller, server, 'toServer');
		this._join(server, caller, 'toCaller');
	}

	/** Passes bytes and the end of one direction on; a connection that lost bytes never passes any again. */
	private _join(from: Socket, to: Socket, direction: 'toServer' | 'toCaller'): void {
		let hasLost = false;
		this._sockets.add(from);
		from.on('data', chunk => {
			const {[direction]: isPassed, delayMs} = passings[this.mode];
			hasLost ||= !isPassed;
			if (!hasLost) {
				setTimeout(() => {
					if (to.writable) {
						to.write(chunk);
					}
				}, delayMs);
			}
		});
		from.on('error', () => {
			resetSocket(to);
		});
		from.on('close', () => {
			this._sockets.delete(from);
			to.destroySoon();
		});
	}
}
