/**
 * Shapes of the benchmark of control cost.
 */

/** What crossed the edges of one node's core, in messages and bytes. */
export type Traffic = {
	stateReports: number;
	stateReportBytes: number;
	peerMessages: number;
	peerBytes: number;
	platformReads: number;
	platformReadBytes: number;
	platformWrites: number;
};

/** What one window of time used. */
export type WindowFigures = {
	readonly seconds: number;
	/** Processor time as a share of one core. */
	readonly coreShare: number;
	readonly traffic: Traffic;
};

/** What a system of one size is made of, seen from one node. */
export type ControlSize = {
	readonly hosts: number;
	readonly groups: number;
	/** Groups of which this node serves one endpoint. */
	readonly served: number;
};
