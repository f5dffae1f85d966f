/**
 * Types of the fleet benchmark.
 */
import type {Host} from '../../src/common/services/services.js';
import type {ProcessAccount} from '../process-account.js';

/** Name and location of a host of the fleet. */
export type FleetHost = Pick<Host, 'name' | 'availabilityZone' | 'region'>;

/** An endpoint of the fleet; only endpoints of groups that the measured node serves actually run. */
export type FleetEndpoint = {
	readonly name: string;
	readonly group: string;
	readonly availabilityZone: string;
	readonly host: string;
	readonly port: number;
};

/** Size and load of the fleet in which the node is measured. */
export type Scenario = {
	readonly name: string;
	/** Number of hosts, including the measured one. */
	readonly hosts: number;
	/** Number of groups, of three endpoints each. */
	readonly groups: number;
	/** Whether the first endpoint of every group is in the zone of the measured node. */
	readonly areGroupsNear?: boolean;
	readonly idleConnections?: number;
	readonly changesPerS?: number;
	/** Time between two uses of each other host's link to the measured node; if undefined, the links stay closed. */
	readonly linkUseMs?: number;
	/** Time between two reads of the host list, per host in it; if undefined, the default applies. */
	readonly listReadPerHostMs?: number;
	/** Time between the node's readiness and the measurement. */
	readonly settleMs: number;
};

/** Measurements of one scenario. */
export type ScenarioFigures = {
	readonly scenario: Scenario;
	readonly servedEndpoints: number;
	readonly seconds: number;
	/** Resources that the node used in the window. */
	readonly used: ProcessAccount;
	/** Memory after a garbage collection at the end of the window. */
	readonly heapBytes: number;
	readonly residentBytes: number;
	/** Reads of the host list in the window, computed from their rate since the scrape before it. */
	readonly listReads: number;
	/** Changes of the configuration in the window. */
	readonly changes: number;
};
