/**
 * A TCP proxy on loopback between a node and a server that it calls. It can delay or reset
 * connections, or drop their bytes in one direction or both.
 */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {listenOn} from '../../src/node/listen-on.js';
import {resetSocket} from './reset-socket.js';

/** How the proxy treats connections and their bytes. */
export type ProxyMode = 'pass' | 'slow' | 'silent' | 'cutToServer' | 'cutToCaller' | 'refuse';

type Forwarding = {
	readonly toServer: boolean;
	readonly toCaller: boolean;
	readonly delayMs: number;
};

/** Delay of slow connections, in milliseconds: well above the latency between zones and below the nodes' timeouts. */
const slowDelayMs = 60;

const forwardingByMode: Record<ProxyMode, Forwarding> = {
	pass: {toServer: true, toCaller: true, delayMs: 0},
	slow: {toServer: true, toCaller: true, delayMs: slowDelayMs},
	silent: {toServer: false, toCaller: false, delayMs: 0},
	cutToServer: {toServer: false, toCaller: true, delayMs: 0},
	cutToCaller: {toServer: true, toCaller: false, delayMs: 0},
	refuse: {toServer: false, toCaller: false, delayMs: 0},
};

/** Forwards connections to one address. A connection of which bytes were dropped forwards none in that direction any more. */
export class FaultyProxy {
	mode: ProxyMode = 'pass';
	/** Active faults, in addition to the mode; their effects add up. */
	private readonly _faults = new Set<{readonly mode: ProxyMode}>();
	private readonly _target: {readonly host: string; readonly port: number};
	private readonly _server: Server;
	private readonly _sockets = new Set<Socket>();

	constructor(target: {readonly host: string; readonly port: number}) {
		this._target = target;
		this._server = createServer({noDelay: true}, socket => {
			this._accept(socket);
		});
	}

	/** Number of open sockets, to callers and to the server. */
	get openSockets(): number {
		return this._sockets.size;
	}

	/** Listens on a free port; resolves to the port. */
	async listen(host: string): Promise<number> {
		return listenOn(this._server, {host, port: 0});
	}

	/** Injects a fault. The returned function removes it and resets all connections, since some may have lost bytes. */
	injectFault(mode: ProxyMode): () => void {
		const fault = {mode};
		this._faults.add(fault);
		return () => {
			this._faults.delete(fault);
			this.reset();
		};
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

	private get _modes(): ProxyMode[] {
		return [this.mode, ...[...this._faults].map(({mode}) => mode)];
	}

	private _accept(caller: Socket): void {
		if (this._modes.includes('refuse')) {
			resetSocket(caller);
			return;
		}

		const server = connect({...this._target, noDelay: true});
		this._forward(caller, server, 'toServer');
		this._forward(server, caller, 'toCaller');
	}

	/** Forwards the bytes of one direction, and the close. Once bytes were dropped, nothing more is forwarded: the stream would have a gap. */
	private _forward(from: Socket, to: Socket, direction: 'toServer' | 'toCaller'): void {
		let hasLostBytes = false;
		this._sockets.add(from);
		from.on('data', chunk => {
			const activeForwardings = this._modes.map(mode => forwardingByMode[mode]);
			hasLostBytes ||= activeForwardings.some(({[direction]: isPassed}) => !isPassed);
			if (!hasLostBytes) {
				setTimeout(() => {
					if (to.writable) {
						to.write(chunk);
					}
				}, Math.max(...activeForwardings.map(({delayMs}) => delayMs)));
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
