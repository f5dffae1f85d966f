/**
 * Types shared by the modules of the endpoint slice.
 */
import type {EndpointAddress} from '../../common/services/services.js';
import type {FrameSocket} from './frame-socket.js';

/** What is used of a socket, so that a program may bring a transport of its own. */
export type ByteSocket = {
	readonly writable: boolean;
	readonly destroyed: boolean;
	setNoDelay(isNoDelay: boolean): unknown;
	on(event: 'data', listener: (chunk: Uint8Array) => void): unknown;
	on(event: 'error', listener: (error: Error) => void): unknown;
	on(event: 'close' | 'connect', listener: () => void): unknown;
	/** Bytes written before the connection is established are sent once it is. */
	write(bytes: Uint8Array): unknown;
	end(lastBytes: Uint8Array): unknown;
	destroySoon(): void;
	destroy(): unknown;
	pause(): unknown;
	resume(): unknown;
};

/** Begins to connect to an endpoint. */
export type Dial = (endpoint: EndpointAddress) => ByteSocket;

/** How the connector reaches endpoints. */
export type ConnectorOptions = {
	readonly dial: Dial;
	readonly user: string;
	readonly password: string;
	/** Time for connecting, start-up and authentication together. */
	readonly connectTimeoutMs: number;
	/** Time for one control order, its wait behind others included. */
	readonly controlTimeoutMs: number;
	/** Longest single backend message that is taken in. */
	readonly maximumMessageBytes: number;
};

/** What a CancelRequest names its target by. */
export type BackendKey = {
	readonly processId: number;
	readonly secretKey: number;
};

/** A connection after start-up, ready for its first query. */
export type StartedSession = {
	readonly frames: FrameSocket;
	/** Last value of each parameter that was reported during start-up. */
	readonly parameters: ReadonlyMap<string, string>;
	readonly backendKey: BackendKey | undefined;
};

/** Place of one whole message within a batch; `end` is exclusive. */
export type FrameRange = {
	readonly type: number;
	readonly bodyStart: number;
	readonly end: number;
};

/** What an ErrorResponse says. */
export type BackendError = {
	readonly isFatal: boolean;
	readonly sqlState: string;
	readonly message: string;
};
