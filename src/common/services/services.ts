/**
 * Interfaces of every service, gathered, and the tokens they are injected by.
 *
 * Time, randomness, peers, the platform and the database group are each reached through
 * one interface here, so that the same node code runs in a daemon, in a test with fakes
 * and inside another program.
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

/** Tokens of the services that a host lends to the node core, for a container to hold them by. */
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
