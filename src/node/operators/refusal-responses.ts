/**
 * Maps refusals to HTTP responses.
 */
import type {FastifyReply} from 'fastify';
import type {Problem} from '../../common/configuration/problems.js';
import type {ProposalRefusal} from '../../common/configuration/types.js';
import type {PlatformFault} from '../../common/services/services.js';

/** Everything that a request can be refused with. */
export type OperatorRefusal
	= | ProposalRefusal
		| {readonly kind: 'notFound'; readonly detail: string}
		| {readonly kind: 'unauthorized'}
		| {readonly kind: 'tooManyFailures'; readonly retryAfterMs: number}
		| {readonly kind: 'crossSite'; readonly detail: string}
		| {readonly kind: 'tooLarge'; readonly detail: string}
		| {readonly kind: 'unsupportedType'; readonly detail: string}
		| {readonly kind: 'failed'; readonly detail: string};

/** Status of each kind of refusal. */
export const statusByKind: Readonly<Record<OperatorRefusal['kind'], number>> = {
	invalid: 400,
	unauthorized: 401,
	crossSite: 403,
	notFound: 404,
	conflict: 409,
	tooLarge: 413,
	unsupportedType: 415,
	unacknowledged: 428,
	tooManyFailures: 429,
	failed: 500,
	unavailable: 503,
	unknown: 504,
};

/** Sends a refusal, with a `retry-after` header if the request may succeed later. */
export function sendRefusal(reply: FastifyReply, refusal: OperatorRefusal): FastifyReply {
	if ('retryAfterMs' in refusal) {
		void reply.header('retry-after', String(Math.ceil(refusal.retryAfterMs / 1000)));
	}

	if (refusal.kind === 'unauthorized') {
		void reply.header('www-authenticate', 'Basic realm="quetzalstream", charset="UTF-8"');
	}

	return reply.status(statusByKind[refusal.kind]).send(refusal);
}

/** The refusal of a request that does not fit its schema. */
export function invalidRequest(problems: readonly Problem[]): OperatorRefusal {
	return {kind: 'invalid', problems};
}

/** Retry delay while the platform does not answer. */
const platformRetryAfterMs = 5000;

/** The refusal of a request while the platform does not answer. */
export function platformRefusal(fault: PlatformFault): OperatorRefusal {
	return {kind: 'unavailable', retryAfterMs: platformRetryAfterMs, detail: `the platform does not answer: ${fault.detail}`};
}
