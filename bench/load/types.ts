/**
 * Messages between a benchmark and its load process.
 */

/** Address, group and credentials of a connection. */
export type LoadTarget = {
	readonly host: string;
	readonly port: number;
	readonly group: string;
	readonly user: string;
	readonly password: string;
	/** Session token with which every connection starts; undefined for none. */
	readonly token?: string;
};

/** Kind of statements that the load consists of. */
export type Work = 'preparedRead' | 'simpleRead' | 'preparedWrite';

/** Bound of a run: a number of statements or a time, whichever is reached first. */
export type RunBound = {
	readonly statements?: number;
	readonly durationMs?: number;
};

/** One request to the load process. */
export type LoadRequest
	= | {readonly kind: 'open'; readonly pool: string; readonly target: LoadTarget; readonly connections: number}
		| {
			readonly kind: 'run';
			readonly pool: string;
			readonly work: Work;
			/** Latencies of runs with the same series are recorded together. */
			readonly series: string;
			readonly bound: RunBound;
			/** Number of statements in progress at the same time. */
			readonly inProgress: number;
		}
		| {readonly kind: 'close'; readonly pool: string}
		| {readonly kind: 'report'; readonly series: string};

/** Figures of one series. */
export type SeriesReport = {
	readonly statements: number;
	readonly errors: Readonly<Record<string, number>>;
	readonly durationMs: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	/** Number of messages in the answers, including ReadyForQuery. */
	readonly frames: number;
	/** Number of socket reads in which the answers arrived. */
	readonly pieces: number;
};

/** Response of the load process: the figures of a report, an error, or nothing. */
export type LoadResponse = {
	readonly report?: SeriesReport;
	readonly error?: string;
};
