/**
 * All kinds of errors, and the table that maps each kind to its answer (docs/ERRORS.md).
 */

import type {LogPosition} from '../positions/log-position.js';

/** Whether the request that an answer belongs to was run. */
export type Outcome = 'notRun' | 'ran' | 'unknown';

/** Answer to the caller for one kind of error. */
export type ErrorAnswer = {
	/** Five-character SQLSTATE sent to the caller. */
	readonly sqlState: string;
	/** What the caller may conclude about its request. */
	readonly outcome: Outcome;
	/** Whether the proxy itself may retry the request, within its retry budget and the deadline. */
	readonly isProxyRetryable: boolean;
	/** Retry delay for the caller in milliseconds; zero if a retry does not help. */
	readonly retryAfterMs: number;
	/** Severity: a fatal error ends the caller's connection. */
	readonly severity: 'ERROR' | 'FATAL';
	/** One-line message for people. */
	readonly message: string;
};

function answer(
	sqlState: string,
	outcome: Outcome,
	message: string,
	options: Partial<ErrorAnswer> = {},
): ErrorAnswer {
	return {
		sqlState,
		outcome,
		message,
		isProxyRetryable: options.isProxyRetryable ?? false,
		retryAfterMs: options.retryAfterMs ?? 0,
		severity: options.severity ?? 'ERROR',
	};
}

/** Answers by kind of error. */
export const errorAnswers = {
	malformedMessage: answer('08P01', 'notRun', 'malformed protocol message', {severity: 'FATAL'}),
	messageTooLarge: answer('54000', 'notRun', 'message exceeds the configured size limit', {severity: 'FATAL'}),
	authenticationFailed: answer('28P01', 'notRun', 'authentication failed', {severity: 'FATAL'}),
	tooManyCallers: answer('53300', 'notRun', 'too many connections on this host', {severity: 'FATAL', retryAfterMs: 1000}),
	unknownGroup: answer('3D000', 'notRun', 'unknown database group', {severity: 'FATAL'}),
	invalidToken: answer('22023', 'notRun', 'session token is not valid'),
	invalidParameter: answer('22023', 'notRun', 'parameter value is not valid'),
	unsupportedStatement: answer('0A000', 'notRun', 'statement cannot be carried on a shared connection'),
	unknownStatement: answer('26000', 'notRun', 'no prepared statement of this name'),
	statementFailed: answer('58000', 'ran', 'the endpoint ran the statement and reported a failure', {retryAfterMs: 100}),
	transactionFailed: answer('25P02', 'notRun', 'current transaction is aborted, commands ignored until end of transaction block'),
	overloaded: answer('53000', 'notRun', 'too much work is queued', {retryAfterMs: 200}),
	callerLimited: answer('53400', 'notRun', 'limit of this caller reached', {retryAfterMs: 500}),
	configurationUnproved: answer('57P03', 'notRun', 'the node does not know whether the API key still counts', {retryAfterMs: 500}),
	deadlineUnreachable: answer('57014', 'notRun', 'cannot be served before its deadline', {retryAfterMs: 200}),
	deadlineExceeded: answer('57014', 'notRun', 'the deadline passed and nothing took effect', {retryAfterMs: 200}),
	cancelled: answer('57014', 'notRun', 'cancelled on request'),
	tooStale: answer('72000', 'notRun', 'no endpoint is as fresh as asked for', {isProxyRetryable: true, retryAfterMs: 100}),
	behindToken: answer('57P03', 'notRun', 'no endpoint has reached the session\'s position yet', {isProxyRetryable: true, retryAfterMs: 100}),
	noPrimary: answer('57P03', 'notRun', 'the group has no primary at the moment', {isProxyRetryable: true, retryAfterMs: 500}),
	notPrimary: answer('57P03', 'notRun', 'the endpoint is not the primary of the group', {isProxyRetryable: true, retryAfterMs: 100}),
	notHome: answer('57P03', 'notRun', 'the node does not serve the endpoint', {isProxyRetryable: true, retryAfterMs: 100}),
	readOnlyEndpoint: answer('25006', 'notRun', 'the endpoint is read-only', {isProxyRetryable: true}),
	endpointUnavailable: answer('57P03', 'notRun', 'the endpoint cannot be reached', {isProxyRetryable: true, retryAfterMs: 200}),
	endpointLeaving: answer('57P03', 'notRun', 'the endpoint is leaving', {isProxyRetryable: true, retryAfterMs: 200}),
	peerUnavailable: answer('57P03', 'notRun', 'the node that serves the endpoint cannot be reached', {isProxyRetryable: true, retryAfterMs: 200}),
	transactionLost: answer('40001', 'notRun', 'the transaction was rolled back because its connection was lost', {retryAfterMs: 100}),
	transactionTooLong: answer('25P03', 'notRun', 'the transaction was idle for too long and was rolled back'),
	outcomeUnknown: answer('08007', 'unknown', 'the outcome of the statement is unknown', {retryAfterMs: 1000}),
	answerCutShort: answer('08006', 'unknown', 'the connection was lost in the middle of the answer', {retryAfterMs: 200}),
	shuttingDown: answer('57P01', 'notRun', 'the node is shutting down', {severity: 'FATAL', retryAfterMs: 100}),
	invariantViolated: answer('XX000', 'unknown', 'an internal invariant did not hold', {retryAfterMs: 1000}),
} as const satisfies Record<string, ErrorAnswer>;

/** Kind of error with which a request of a caller or a peer can be answered. */
export type ErrorKind = keyof typeof errorAnswers;

/** Answer to a request that the proxy refuses instead of passing on an answer of an endpoint. */
export class Refusal {
	readonly kind: ErrorKind;
	/** Detail for people; never contains statement text. */
	readonly detail: string;
	/** Retry delay in milliseconds. */
	readonly retryAfterMs: number;
	/** Newer information of the refusing node, with which the requester can correct its view. */
	readonly correction: ViewCorrection | undefined;

	constructor(kind: ErrorKind, detail = '', options: {retryAfterMs?: number; correction?: ViewCorrection} = {}) {
		this.kind = kind;
		this.detail = detail;
		this.retryAfterMs = options.retryAfterMs ?? errorAnswers[kind].retryAfterMs;
		this.correction = options.correction;
	}

	/** The answer of this refusal's kind. */
	get answer(): ErrorAnswer {
		return errorAnswers[this.kind];
	}
}

/** What the refusing node knows about the group; the requester corrects its view with it. */
export type ViewCorrection = {
	/** Highest term that the refusing node knows. */
	readonly term?: number;
	/** Endpoint that is the primary in that term. */
	readonly primary?: string;
	/** Node that is the home of the requested endpoint. */
	readonly homeNode?: string;
	/** Positions that the group's instances had applied at their last report. */
	readonly applied?: ReadonlyArray<{readonly endpoint: string; readonly position: LogPosition}>;
};
