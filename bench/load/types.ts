/**
 * What a benchmark tells its load process, and what that answers.
 */

/** Who connects where. */
export type LoadTarget = {
	readonly host: string;
	readonly port: number;
	readonly group: string;
	readonly user: string;
	readonly password: string;
	/** Session token that every connection brings; undefined for none. */
	readonly token?: string;
};

/** Statements that the load consists of. */
export type Work = 'preparedRead' | 'simpleRead' | 'preparedWrite';

/** How long a run lasts: a number of statements or a time, whichever ends first. */
export type RunBound = {
	readonly statements?: number;
	readonly durationMs?: number;
};

/** One request to the load process. */
export type LoadOrder
	= | {readonly kind: 'open'; readonly pool: string; readonly target: LoadTarget; readonly connections: number}
		| {
			readonly kind: 'run';
			readonly pool: string;
			readonly work: Work;
			/** Latencies of runs with the same series are put together. */
			readonly series: string;
			readonly bound: RunBound;
			/** Statements in progress at one time. */
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
	/** Messages of the answers, ReadyForQuery included. */
	readonly frames: number;
	/** Pieces in which the answers came. */
	readonly pieces: number;
};

/** What the load process answers: the figures of a report, or nothing. */
export type LoadAnswer = {
	readonly report?: SeriesReport;
	readonly error?: string;
};
