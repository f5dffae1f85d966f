/**
 * Interfaces of the configuration in force on a node.
 */
import type {Event} from '../lifecycle/emitter.js';
import type {EndpointAddress} from './endpoint-services.js';

/** A database group as the configuration in force describes it. */
export type GroupDefinition = {
	readonly name: string;
	readonly service: string;
	readonly labels: Readonly<Record<string, string>>;
	readonly endpoints: readonly EndpointDefinition[];
};

/** One endpoint of a group. */
export type EndpointDefinition = EndpointAddress & {
	readonly labels: Readonly<Record<string, string>>;
	/** Statements that may run at the endpoint at one time. */
	readonly slots: number;
	/** Connections that the endpoint accepts, including control connections. */
	readonly connections: number;
};

/** What is known about the sender of a statement. */
export type CallerDescription = {
	readonly user: string;
	readonly applicationName: string;
	readonly availabilityZone: string;
	readonly labels: Readonly<Record<string, string>>;
};

/** Policy for one caller and one group after the rules and the defaults were applied. */
export type CallerPolicy = {
	/** Where statements that are certain to be reads may run. */
	readonly reads: 'replicas' | 'primary';
	/** Maximum acceptable staleness of reads; undefined if only the session's token bounds it. */
	readonly maximumAgeMs?: number;
	/** Lower is served first. */
	readonly priority: number;
	/** Statements of this caller that may be in progress at one time on one node. */
	readonly maximumInProgress: number;
	/** Time that a statement has if the caller states no deadline. */
	readonly deadlineMs: number;
	/** Maximum number of times that the proxy may retry a statement that certainly did not run. */
	readonly maximumRetries: number;
	readonly transactionIdleMs: number;
};

/** Policy for one endpoint after the rules were applied. */
export type EndpointPolicy = {
	readonly isDraining: boolean;
	readonly acceptsReads: boolean;
	/** Higher is preferred as primary; zero by default. */
	readonly primaryPreference: number;
	/** Whether an operator ordered this endpoint to be primary. */
	readonly isOrderedPrimary: boolean;
};

/** The configuration in force on this node. Its version never decreases. */
export type Configuration = {
	readonly version: number;
	readonly onChange: Event<number>;
	groups(): readonly GroupDefinition[];
	group(name: string): GroupDefinition | undefined;
	callerPolicy(caller: CallerDescription, group: string): CallerPolicy;
	endpointPolicy(endpoint: string): EndpointPolicy;
};
