/**
 * A connection from a node to an endpoint, with the socket interface that the node's connector uses.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {EndpointAddress} from '../../src/common/services/services.js';
import type {ByteSocket} from '../../src/node/endpoints/types.js';
import type {SimulatedConnection, SimulatedEndpoint} from './simulated-endpoint.js';
import type {SimulatedNetwork} from './simulated-network.js';
import type {SimulatedProcess} from './simulated-process.js';

type Listeners = {
	data: Array<(chunk: Uint8Array) => void>;
	error: Array<(error: Error) => void>;
	close: Array<() => void>;
	connect: Array<() => void>;
};

/** Carries bytes in both directions, subject to the delays and cuts of the network and to the states of the processes. */
export class SimulatedSocket implements ByteSocket {
	private readonly _node: SimulatedProcess;
	private readonly _endpoint: SimulatedEndpoint;
	private readonly _network: SimulatedNetwork;
	private readonly _listeners: Listeners = {
		data: [], error: [], close: [], connect: [],
	};

	private readonly _nodeEnd: Disposable;
	private _server: SimulatedConnection | undefined;
	private _isDestroyed = false;
	private _isServerClosed = false;
	private _pendingWrites: Uint8Array[] | undefined = [];

	constructor(node: SimulatedProcess, endpoint: SimulatedEndpoint, network: SimulatedNetwork) {
		this._node = node;
		this._endpoint = endpoint;
		this._network = network;
		this._toEndpoint(() => {
			this._connect();
		});
		this._nodeEnd = node.onEnd(() => {
			this._toEndpoint(() => {
				this._closeServer();
			});
		});
	}

	get destroyed(): boolean {
		return this._isDestroyed;
	}

	get writable(): boolean {
		return !this._isDestroyed;
	}

	setNoDelay(): void {
		// The simulated network never delays a small write in order to combine it with others.
	}

	on<K extends keyof Listeners>(event: K, listener: Listeners[K][number]): void {
		(this._listeners[event] as Array<Listeners[K][number]>).push(listener);
	}

	write(bytes: Uint8Array): void {
		if (this._isDestroyed) {
			return;
		}

		if (this._pendingWrites) {
			this._pendingWrites.push(bytes);
			return;
		}

		this._send(bytes);
	}

	end(lastBytes: Uint8Array): void {
		this.write(lastBytes);
		this.destroy();
	}

	destroySoon(): void {
		this.destroy();
	}

	destroy(): void {
		this._close();
		this._toEndpoint(() => {
			this._closeServer();
		});
	}

	pause(): void {
		// Back-pressure is not simulated: answers are small in these runs, and the connector buffers them.
	}

	resume(): void {
		// See pause().
	}

	/** Connects: the host of the endpoint accepts unless the endpoint is down, even if its process is frozen. */
	private _connect(): void {
		if (this._endpoint.isDown) {
			this._toNode(() => {
				this._reset('connection refused');
			});
			return;
		}

		this._toNode(() => {
			const waiting = this._pendingWrites ?? [];
			this._pendingWrites = undefined;
			for (const listener of this._listeners.connect) {
				listener();
			}

			for (const bytes of waiting) {
				this._send(bytes);
			}
		});
	}

	private _send(bytes: Uint8Array): void {
		const sentMs = this._node.nowMs();
		this._toEndpoint(() => {
			this._endpoint.process.run(() => {
				this._receiveAtEndpoint(bytes, sentMs);
			});
		});
	}

	private _receiveAtEndpoint(bytes: Uint8Array, sentMs: number): void {
		if (this._isServerClosed) {
			return;
		}

		if (this._server) {
			this._server.receive(bytes, sentMs, this._node);
			return;
		}

		this._endpoint.handleStartUp(bytes, {
			isFull: false,
			write: (answer: Uint8Array) => {
				const bytes = new Uint8Array(answer);
				this._toNode(() => {
					this._deliver(bytes);
				});
			},
			end: () => {
				this._isServerClosed = true;
				this._toNode(() => {
					this._reset('connection reset by the endpoint');
				});
			},
		}, server => {
			this._server = server;
			if (this._isServerClosed) {
				server.close();
			}
		});
	}

	private _deliver(bytes: Uint8Array): void {
		if (this._isDestroyed) {
			return;
		}

		for (const listener of this._listeners.data) {
			listener(bytes);
		}
	}

	private _reset(message: string): void {
		if (this._isDestroyed) {
			return;
		}

		for (const listener of this._listeners.error) {
			listener(new Error(message));
		}

		this._close();
	}

	private _close(): void {
		if (this._isDestroyed) {
			return;
		}

		this._isDestroyed = true;
		this._nodeEnd.dispose();
		this._node.setTimer(0, () => {
			for (const listener of this._listeners.close) {
				listener();
			}
		});
	}

	private _closeServer(): void {
		this._isServerClosed = true;
		this._server?.close();
	}

	private _toEndpoint(action: () => void): void {
		this._network.send(this._node, this._endpoint.host, action);
	}

	private _toNode(action: () => void): void {
		this._network.send(this._endpoint.host, this._node, action);
	}
}

/** A function that opens connections from one node; it throws if the endpoint is unknown. */
export function dialFor(node: SimulatedProcess, network: SimulatedNetwork, find: (name: string) => SimulatedEndpoint | undefined): (address: EndpointAddress) => ByteSocket {
	return ({name}) => {
		const endpoint = find(name);
		if (!endpoint) {
			throw new Error(`no endpoint ${name} in this world`);
		}

		return new SimulatedSocket(node, endpoint, network);
	};
}
