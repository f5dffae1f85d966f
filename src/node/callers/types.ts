/** Types of the caller listener. */
import type {TokenlessReads, TokenSigner} from '../../common/sessions/types.js';
import type {
	Clock, Configuration, Log, Metrics, Router,
} from '../../common/services/services.js';

/** How callers authenticate. */
export type Authentication = 'none' | 'cleartextPassword' | 'md5Password';

/** A user that callers connect as. */
export type CallerUser = {
	readonly name: string;
	/** Plain text, or `md5` followed by the hash of password and user name, as the database stores it. */
	readonly password?: string;
	readonly labels?: Readonly<Record<string, string>>;
};

/** Options of the caller listener. */
export type CallerOptions = {
	readonly authentication: Authentication;
	readonly users: readonly CallerUser[];
	/** PEM texts; undefined to serve without TLS. */
	readonly tls: {readonly key: string; readonly cert: string} | undefined;
	readonly isTlsRequired: boolean;
	readonly tokenlessReads: TokenlessReads;
	readonly maximumConnections: number;
	readonly maximumMessageBytes: number;
	/** Maximum bytes of messages that are being received or handled, over all callers together. */
	readonly maximumBufferedBytes: number;
	/** Maximum time from accepting a connection to the end of authentication. */
	readonly startUpTimeoutMs: number;
	/** Time that a caller may leave an answer unread before its connection is closed. */
	readonly answerStallMs: number;
	/** Value that callers receive for the parameter `server_version`. */
	readonly serverVersion: string;
};

/** What the caller listener needs from the node. */
export type CallerServices = {
	readonly router: Router;
	readonly configuration: Configuration;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly signer: TokenSigner;
	/** Signers of keys that are being replaced; their tokens are still accepted. */
	readonly previousSigners?: readonly TokenSigner[];
	readonly node: {readonly name: string; readonly incarnation: string; readonly availabilityZone: string};
	readonly options?: Partial<CallerOptions>;
};
