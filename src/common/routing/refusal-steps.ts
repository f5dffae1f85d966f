/**
 * What the router does after a refusal that lets a request go on.
 */
import type {ErrorKind} from '../errors/error-kinds.js';

/** The router's ways to go on. */
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
