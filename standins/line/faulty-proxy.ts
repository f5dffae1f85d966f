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

type Forwarding = {
	readonly toServer: boolean;
	readonly toCaller: boolean;
	readonly delayMs: number;
};

/** Delay of slow links, in milliseconds: well above a hop between zones, below the nodes' time-outs. */
const slowDelayMs = 60;

const forwardingByMode: Record<ProxyMode, Forwarding> = {
	pass: {toServer: true, toCaller: true, delayMs: 0},
	slow: {toServer: true, toCaller: true, delayMs: slowDelayMs},
	silent: {toServer: false, toCaller: false, delayMs: 0},
	cutToServer: {toServer: false, toCaller: true, delayMs: 0},
	cutToCaller: {toServer: true, toCaller: false, delayMs: 0},
	refuse: {toServer: false, toCaller: false, delayMs: 0},
};

/** Forwards connections to one address. Bytes that a cut swallows are lost for their connection. */
export class FaultyProxy {
	mode: ProxyMode = 'pass';
	/** What is done to it at the moment besides its mode; faults add up. */
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

	/** Sockets that are open, on both sides. */
	get openSockets(): number {
		return this._sockets.size;
	}

	/** Listens on a free port; resolves with it. */
	async listen(host: string): Promise<number> {
		return listenOn(this._server, {host, port: 0});
	}

	/** Disturbs it until the returned function is called, which resets the connections that lost bytes. */
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

	/** Passes bytes and the end of one direction on; a connection that lost bytes never passes any again. */
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
