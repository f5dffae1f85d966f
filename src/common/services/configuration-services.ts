/**
 * The configuration in force on a node.
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
	/** Statements that may run at one time. */
	readonly slots: number;
	/** Connections the endpoint accepts, control connections included. */
	readonly connections: number;
};

/** Who sends a statement. */
export type CallerDescription = {
	readonly user: string;
	readonly applicationName: string;
	readonly availabilityZone: string;
	readonly labels: Readonly<Record<string, string>>;
};

/** What the rules say for one caller and one group, defaults filled in. */
export type CallerPolicy = {
	/** Where certain reads may go. */
	readonly reads: 'replicas' | 'primary';
	/** Largest acceptable age of reads; undefined where only the session's own token bounds them. */
	readonly maximumAgeMs?: number;
	/** Lower is served first. */
	readonly priority: number;
	/** Statements of this caller that may be in progress at one time on one node. */
	readonly maximumInProgress: number;
	/** Time a statement has when the caller states none. */
	readonly deadlineMs: number;
	/** Times the proxy may send again what certainly did not run. */
	readonly maximumRetries: number;
	readonly transactionIdleMs: number;
};

/** What the rules say for one endpoint. */
export type EndpointPolicy = {
	readonly isDraining: boolean;
	readonly acceptsReads: boolean;
	/** Higher is preferred as primary; zero by default. */
	readonly primaryPreference: number;
	/** Whether an operator ordered this endpoint to be primary. */
	readonly isOrderedPrimary: boolean;
};

/** The configuration in force on this node. Versions only go up. */
export type Configuration = {
	readonly version: number;
	readonly onChange: Event<number>;
	groups(): readonly GroupDefinition[];
	group(name: string): GroupDefinition | undefined;
	callerPolicy(caller: CallerDescription, group: string): CallerPolicy;
	endpointPolicy(endpoint: string): EndpointPolicy;
};
