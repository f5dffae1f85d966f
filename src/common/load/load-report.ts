/**
 * What the home of an endpoint reports about it with each answer, so that nodes that place statements
 * know a load that is made up of the statements of all nodes.
 */
import type {LogPosition} from '../positions/log-position.js';

/** Load of one endpoint at one of its homes. */
export type LoadReport = {
	/** Expected wait in milliseconds of a new statement at the home, by priority class from zero on; classes beyond the last one wait as long as it. */
	readonly waitsMs: readonly number[];
	/** Average time in milliseconds from sending a statement to the endpoint to its answer. */
	readonly serviceMs: number;
	/** Share of the last statements that the endpoint failed or did not answer. */
	readonly failedShare: number;
	/** Number of statements on which the average and the share are based, after ageing. */
	readonly measured: number;
	/** Newest position that the endpoint is known to have applied; undefined if none is known. */
	readonly applied: LogPosition | undefined;
	/** Estimated time in milliseconds by which the endpoint lags behind its primary; undefined if it is not known. */
	readonly lagMs: number | undefined;
};
