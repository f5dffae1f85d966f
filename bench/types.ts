/**
 * Types that the benchmarks share.
 */

/** Command-line options of every benchmark. */
export type BenchOptions = {
	/** Whether the result is printed as JSON instead of tables. */
	readonly json: boolean;
	/** Folder for settings and logs of the processes; kept when it is given. */
	readonly folder?: string;
	/** Folder of another checkout, built for deployment, with which `node-cost` compares this one. */
	readonly against?: string;
};

/** A cell of a table: text or a figure. */
export type Cell = string | number;

/** Rows of figures under one title; every row has as many cells as there are columns. */
export type Table = {
	readonly title: string;
	readonly columns: readonly string[];
	readonly rows: ReadonlyArray<readonly Cell[]>;
};

/** A figure that must not exceed a bound; only ratios and counts within one run have bounds. */
export type BoundedFigure = {
	readonly name: string;
	readonly value: number;
	readonly maximum: number;
};

/** Result of a benchmark. */
export type BenchResult = {
	readonly tables: readonly Table[];
	readonly bounded: readonly BoundedFigure[];
};

/** Services that a benchmark gets from the command line. */
export type BenchContext = {
	/** Folder for the settings and logs of the processes. */
	readonly folder: string;
	/** Reports progress to the person who runs the benchmark. */
	readonly note: (text: string) => void;
	/** Folder of another checkout to compare with; undefined if none was given. */
	readonly against?: string;
};

/** Runs one benchmark; resolves with its result. */
export type Bench = (context: BenchContext) => Promise<BenchResult>;
