/**
 * Types of the path benchmark.
 */
import type {LoadTarget, SeriesReport, Work} from '../load/types.js';
import type {ProcessAccount, ProcessGroups} from '../process-account.js';

/** A path to the data, with the processes on it. */
export type AccessPath = {
	readonly name: string;
	readonly target: LoadTarget;
	/** Process ids of the nodes on the path and of the endpoints that may answer. */
	readonly pids: ProcessGroups;
};

/** Figures of one kind of work on one path; `way` is the name of the path. */
export type PathFigures = {
	readonly way: string;
	readonly work: string;
	readonly connections: number;
	readonly report: SeriesReport;
	/** Resources that the processes on the path used. */
	readonly accounts: Readonly<Record<string, ProcessAccount>>;
};

/** One kind of work by which the paths are compared. */
export type LatencyPlan = {
	readonly name: string;
	readonly work: Work;
	readonly paths: readonly AccessPath[];
};

/** Resources that a node has used before and after idle connections were opened. */
export type MemoryFigures = {
	readonly connections: number;
	readonly before: ProcessAccount;
	readonly after: ProcessAccount;
};
