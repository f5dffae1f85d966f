/**
 * Types shared by the modules that connect to endpoints.
 */
import type {EndpointAddress} from '../../common/services/services.js';
import type {FrameSocket} from './frame-socket.js';

/** The part of a socket that is used here, so that a program can supply its own transport. */
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

/** Starts to connect to an endpoint and returns the socket at once. */
export type Dial = (endpoint: EndpointAddress) => ByteSocket;

/** How the connector reaches endpoints. */
export type ConnectorOptions = {
	readonly dial: Dial;
	readonly user: string;
	readonly password: string;
	/** Time limit for connecting, start-up and authentication together. */
	readonly connectTimeoutMs: number;
	/** Time limit for one control command, including its wait behind earlier ones. */
	readonly controlTimeoutMs: number;
	/** Largest single backend message that is accepted. */
	readonly maximumMessageBytes: number;
};

/** Identifies the connection that a CancelRequest is for. */
export type BackendKey = {
	readonly processId: number;
	readonly secretKey: number;
};

/** A connection after start-up, ready for its first query. */
export type StartedSession = {
	readonly frames: FrameSocket;
	/** Parameters reported during start-up, each with its last value. */
	readonly parameters: ReadonlyMap<string, string>;
	readonly backendKey: BackendKey | undefined;
};

/** Range of one complete message within a batch; `end` is exclusive. */
export type FrameRange = {
	readonly type: number;
	readonly bodyStart: number;
	readonly end: number;
};

/** Contents of an ErrorResponse. */
export type BackendError = {
	readonly isFatal: boolean;
	readonly sqlState: string;
	readonly message: string;
};
