/**
 * Exports the interfaces of all services, and the tokens by which they are injected.
 *
 * Time, randomness, peers, the platform and the database group are each reached through
 * one of these interfaces, so that the same node code runs in a daemon, in a test with fakes and
 * embedded in another program.
 */
export type * from './host-services.js';
export type * from './endpoint-services.js';
export type * from './node-services.js';
export type * from './configuration-services.js';
export type * from './group-services.js';
export type * from './routing-services.js';
export type * from './platform-services.js';
export type * from './direct-services.js';
export type * from './peer-services.js';

/** Injection tokens of the services that a host provides to the node core. */
export const tokens = {
	clock: Symbol('Clock'),
	random: Symbol('Random'),
	log: Symbol('Log'),
	metrics: Symbol('Metrics'),
	connector: Symbol('EndpointConnector'),
	table: Symbol('Table'),
	objects: Symbol('Objects'),
	hostList: Symbol('HostList'),
	audit: Symbol('Audit'),
	invariants: Symbol('Invariants'),
} as const;
