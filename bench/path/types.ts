/**
 * Figures of the path benchmark.
 */
import type {LoadTarget, SeriesReport, Work} from '../load/types.js';
import type {ProcessAccount, ProcessGroups} from '../process-account.js';

/** A way to the data, with the processes on it. */
export type Way = {
	readonly name: string;
	readonly target: LoadTarget;
	/** Nodes on the way, and the endpoints that may answer. */
	readonly pids: ProcessGroups;
};

/** Figures of one way and one kind of work. */
export type WayFigures = {
	readonly way: string;
	readonly work: string;
	readonly connections: number;
	readonly report: SeriesReport;
	/** What the processes on the way used. */
	readonly accounts: Readonly<Record<string, ProcessAccount>>;
};

/** One kind of work to compare the ways by. */
export type LatencyPlan = {
	readonly name: string;
	readonly work: Work;
	readonly ways: readonly Way[];
};

/** Figures of a node that holds idle connections. */
export type MemoryFigures = {
	readonly connections: number;
	readonly before: ProcessAccount;
	readonly after: ProcessAccount;
};
