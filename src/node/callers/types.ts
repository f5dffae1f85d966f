/** Types of the caller front. */
import type {TokenlessReads, TokenSigner} from '../../common/sessions/types.js';
import type {
	Clock, Configuration, Log, Metrics, Router,
} from '../../common/services/services.js';

/** How callers prove who they are. */
export type Authentication = 'none' | 'cleartextPassword' | 'md5Password';

/** A user that callers connect as. */
export type CallerUser = {
	readonly name: string;
	/** Plain, or `md5` and the hash of password and name, as the database stores it. */
	readonly password?: string;
	readonly labels?: Readonly<Record<string, string>>;
};

/** Options of the caller front. */
export type CallerOptions = {
	readonly authentication: Authentication;
	readonly users: readonly CallerUser[];
	/** PEM texts; undefined to serve without TLS. */
	readonly tls: {readonly key: string; readonly cert: string} | undefined;
	readonly isTlsRequired: boolean;
	readonly tokenlessReads: TokenlessReads;
	readonly maximumConnections: number;
	readonly maximumMessageBytes: number;
	/** Bytes that all callers together may have sent without an answer. */
	readonly maximumBufferedBytes: number;
	/** Time from accepting a connection to the end of authentication. */
	readonly startUpTimeoutMs: number;
	/** Longest time that a caller may leave an answer untaken. */
	readonly answerStallMs: number;
	/** What callers are told as `server_version`. */
	readonly serverVersion: string;
};

/** What the caller front needs from the node. */
export type CallerServices = {
	readonly router: Router;
	readonly configuration: Configuration;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly signer: TokenSigner;
	/** Signers of keys that are being replaced; their tokens are still taken. */
	readonly previousSigners?: readonly TokenSigner[];
	readonly node: {readonly name: string; readonly incarnation: string; readonly availabilityZone: string};
	readonly options?: Partial<CallerOptions>;
};
