/**
 * Types of the fleet benchmark.
 */
import type {Host} from '../../src/common/services/services.js';
import type {ProcessAccount} from '../process-account.js';

/** Where a host of the fleet is. */
export type FleetHost = Pick<Host, 'name' | 'availabilityZone' | 'region'>;

/** An endpoint of the fleet; only those of groups that the subject serves are processes. */
export type FleetEndpoint = {
	readonly name: string;
	readonly group: string;
	readonly availabilityZone: string;
	readonly host: string;
	readonly port: number;
};

/** What one scenario consists of, besides the one node that is measured. */
export type Scenario = {
	readonly name: string;
	/** Hosts, the measured one included. */
	readonly hosts: number;
	/** Groups of three endpoints. */
	readonly groups: number;
	/** Whether the first endpoint of every group is in the zone of the measured node. */
	readonly areGroupsNear?: boolean;
	readonly idleConnections?: number;
	readonly changesPerS?: number;
	/** Time between two uses of a link to the measured node by each other host; links stay closed without. */
	readonly linkUseMs?: number;
	/** Time between two reads of the host list for each host, where it differs from the default. */
	readonly listReadPerHostMs?: number;
	/** Time between the node's readiness and the measurement. */
	readonly settleMs: number;
};

/** What a scenario gave. */
export type ScenarioFigures = {
	readonly scenario: Scenario;
	readonly servedEndpoints: number;
	readonly seconds: number;
	/** What the node used in the window. */
	readonly used: ProcessAccount;
	/** Memory after garbage was collected, at the end of the window. */
	readonly heapBytes: number;
	readonly residentBytes: number;
	/** Reads of the host list in the window, by their rate. */
	readonly listReads: number;
	/** Changes of the configuration in the window. */
	readonly changes: number;
};
