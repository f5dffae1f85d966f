/**
 * Types of the benchmark of control cost.
 */

/** Messages and bytes between one node's core and its endpoints, its peers and the platform. */
export type Traffic = {
	stateReports: number;
	stateReportBytes: number;
	peerMessages: number;
	peerBytes: number;
	platformReads: number;
	platformReadBytes: number;
	platformWrites: number;
};

/** Processor time and traffic of one window of time. */
export type WindowFigures = {
	readonly seconds: number;
	/** Processor time as a share of one core. */
	readonly coreShare: number;
	/** Traffic per second. */
	readonly traffic: Traffic;
};

/** Size of a system as seen from one node. */
export type ControlSize = {
	readonly hosts: number;
	readonly groups: number;
	/** Groups of which this node serves one endpoint. */
	readonly served: number;
};
