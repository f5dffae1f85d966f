/**
 * Translation of client errors into platform faults.
 */
import type {PlatformFault} from '../../common/services/services.js';

type FaultKind = PlatformFault['kind'];

/** Errors whose name says more than their status code. */
const kindsByName: Readonly<Record<string, FaultKind>> = {
	/* eslint-disable @typescript-eslint/naming-convention -- the services' names. */
	ConditionalCheckFailedException: 'conditionFailed',
	ProvisionedThroughputExceededException: 'throttled',
	RequestLimitExceeded: 'throttled',
	ThrottlingException: 'throttled',
	TransactionConflictException: 'throttled',
	SlowDown: 'throttled',
	// The first attempt may still take effect.
	TransactionInProgressException: 'unavailable',
	// The clock or the credentials of the process may be corrected while it runs.
	ExpiredTokenException: 'unavailable',
	RequestTimeTooSkewed: 'unavailable',
	/* eslint-enable @typescript-eslint/naming-convention */
};

/** Cancellation reasons of a transaction, in order of precedence. */
const kindsByCancellation: ReadonlyArray<readonly [string, FaultKind]> = [
	['ValidationError', 'invalid'],
	['ItemCollectionSizeLimitExceeded', 'invalid'],
	['ConditionalCheckFailed', 'conditionFailed'],
	['TransactionConflict', 'throttled'],
	['ThrottlingError', 'throttled'],
	['ProvisionedThroughputExceeded', 'throttled'],
];

type ClientError = {
	readonly name?: string;
	readonly message?: string;
	readonly code?: string;
	readonly $metadata?: {readonly httpStatusCode?: number};
};

/** Translates a client's error into a fault; an operation that is not known to be refused may have taken effect. */
export function faultOf(error: unknown): PlatformFault {
	const {name = '', message = '', code = '', $metadata: metadata}: ClientError = error instanceof Error ? error : {};
	const statusCode = metadata?.httpStatusCode ?? 0;
	const isRefused = statusCode >= 400 && statusCode < 500;
	const kind = kindsByName[name] ?? (isRefused ? 'invalid' : 'unavailable');
	return {kind, detail: [name, code, message].filter(Boolean).join(': ')};
}

/** Returns the fault of a transaction that was cancelled for these reasons. */
export function faultOfCancellation(codes: readonly string[]): PlatformFault {
	const kind = kindsByCancellation.find(([code]) => codes.includes(code))?.[1] ?? 'unavailable';
	return {kind, detail: `transaction cancelled: ${codes.join(', ')}`};
}
