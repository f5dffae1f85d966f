/**
 * Types that the benchmarks share.
 */

/** Options of the command line that every benchmark takes. */
export type BenchOptions = {
	/** Whether the result is printed as JSON instead of tables. */
	readonly json: boolean;
	/** Folder for settings and logs of the processes; kept when it is given. */
	readonly folder?: string;
};

/** A value of a table: text, or a figure. */
export type Cell = string | number;

/** Rows of figures under one title; every row has as many cells as there are columns. */
export type Table = {
	readonly title: string;
	readonly columns: readonly string[];
	readonly rows: ReadonlyArray<readonly Cell[]>;
};

/** A figure that must not exceed a bound; ratios and counts within one run only. */
export type BoundedFigure = {
	readonly name: string;
	readonly value: number;
	readonly maximum: number;
};

/** What a benchmark found. */
export type BenchResult = {
	readonly tables: readonly Table[];
	readonly bounded: readonly BoundedFigure[];
};

/** What a benchmark works with. */
export type BenchContext = {
	/** Where settings and logs of the processes are written. */
	readonly folder: string;
	/** Says what is going on. */
	readonly note: (text: string) => void;
};

/** One benchmark. */
export type Bench = (context: BenchContext) => Promise<BenchResult>;
