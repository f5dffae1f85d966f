/**
 * A TCP proxy on loopback between a node and a server that it calls. It can delay or reset
 * connections, limit their bandwidth, or drop their bytes in one direction or both.
 */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {performance} from 'node:perf_hooks';
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

/** Size of the pieces in which bytes are forwarded at a limited bandwidth: about the payload of a packet. */
const sliceBytes = 1400;

/** Delay of the first of them, in milliseconds. */
const slowStartMs = 2;

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
	/** Bytes per millisecond to callers, over all connections; unlimited by default. */
	bytesPerMsToCallers = Number.POSITIVE_INFINITY;
	/** Number of bytes that were forwarded to callers. */
	bytesToCallers = 0;
	/** Active faults, in addition to the mode; their effects add up. */
	private readonly _faults = new Set<{readonly mode: ProxyMode}>();
	private readonly _target: {readonly host: string; readonly port: number};
	private readonly _server: Server;
	private readonly _sockets = new Set<Socket>();
	/** Bytes to callers that wait for the limited bandwidth. */
	private readonly _slices: Array<{readonly from: Socket; readonly to: Socket; readonly bytes: Uint8Array; readonly isLast: boolean}> = [];
	private _isForwardingSlowly = false;
	/** When the limited bandwidth has room for more bytes. */
	private _busyUntilMs = 0;

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
			if (hasLostBytes) {
				return;
			}

			if (direction === 'toCaller' && Number.isFinite(this.bytesPerMsToCallers)) {
				this._forwardSlowly(from, to, chunk);
				return;
			}

			setTimeout(() => {
				this._write(to, chunk, direction);
			}, Math.max(...activeForwardings.map(({delayMs}) => delayMs)));
		});
		from.on('error', () => {
			resetSocket(to);
		});
		from.on('close', () => {
			this._sockets.delete(from);
			to.destroySoon();
		});
	}

	/** Forwards a chunk to a caller at the limited bandwidth, and reads no more from the server meanwhile. */
	private _forwardSlowly(from: Socket, to: Socket, chunk: Uint8Array): void {
		from.pause();
		for (let offset = 0; offset < chunk.length; offset += sliceBytes) {
			this._slices.push({
				from, to, bytes: chunk.subarray(offset, offset + sliceBytes), isLast: offset + sliceBytes >= chunk.length,
			});
		}

		if (!this._isForwardingSlowly) {
			this._isForwardingSlowly = true;
			// Bytes that were read before the bandwidth was limited are written first.
			setTimeout(() => {
				this._forwardSlices();
			}, slowStartMs);
		}
	}

	/** Forwards slices one after the other: timers of their own could run out of order. */
	private _forwardSlices(): void {
		for (let slice = this._slices.shift(); slice; slice = this._slices.shift()) {
			const nowMs = performance.now();
			this._busyUntilMs = Math.max(nowMs, this._busyUntilMs) + (slice.bytes.length / this.bytesPerMsToCallers);
			if (this._modes.every(mode => forwardingByMode[mode].toCaller)) {
				this._write(slice.to, slice.bytes, 'toCaller');
			}

			if (slice.isLast) {
				slice.from.resume();
			}

			if (this._busyUntilMs - nowMs >= 1) {
				setTimeout(() => {
					this._forwardSlices();
				}, this._busyUntilMs - nowMs);
				return;
			}
		}

		this._isForwardingSlowly = false;
	}

	private _write(to: Socket, bytes: Uint8Array, direction: 'toServer' | 'toCaller'): void {
		if (to.writable) {
			this.bytesToCallers += direction === 'toCaller' ? bytes.length : 0;
			to.write(bytes);
		}
	}
}
