/**
 * The step that the router takes after a refusal that allows another attempt.
 */
import type {ErrorKind} from '../errors/error-kinds.js';

/** How the router prepares another attempt of a refused request. */
export type NextStep = 'detour' | 'anotherEndpoint' | 'anotherReplica' | 'findPrimary' | 'retry';

/** Next step by the kind of refusal; kinds that are not listed are retried within the budget. */
export const nextStepByKind: Partial<Record<ErrorKind, NextStep>> = {
	notHome: 'detour',
	peerUnavailable: 'detour',
	behindToken: 'anotherEndpoint',
	readOnlyEndpoint: 'anotherEndpoint',
	tooStale: 'anotherReplica',
	endpointLeaving: 'anotherEndpoint',
	notPrimary: 'findPrimary',
	noPrimary: 'findPrimary',
};
