/**
 * The workload of each deployment.
 */

/** Tables, groups and callers of one workload. */
export type Scenario = {
	/** Table that many callers read often. */
	readonly browsed: {readonly group: string; readonly table: string; readonly user: string};
	/** Table that is written, and whose rows must not be lost or duplicated. */
	readonly written: {readonly group: string; readonly table: string; readonly user: string};
	/** Names of the reads and writes in the report. */
	readonly words: {readonly reads: string; readonly writes: string};
};

/** Scenarios by the name of the deployment. */
export const scenarios: Readonly<Record<string, Scenario>> = {
	furniture: {
		browsed: {group: 'stock', table: 'items', user: 'public'},
		written: {group: 'sales', table: 'receipts', user: 'counter'},
		words: {reads: 'browsing reads', writes: 'sales'},
	},
	cooperative: {
		browsed: {group: 'rosters', table: 'rosters', user: 'overview'},
		written: {group: 'bookings', table: 'bookings', user: 'manager'},
		words: {reads: 'roster reads', writes: 'bookings'},
	},
};
