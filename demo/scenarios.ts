/**
 * What each deployment's workload is about.
 */

/** Tables, groups and callers of one workload. */
export type Scenario = {
	/** What is looked at, often and by many. */
	readonly browsed: {readonly group: string; readonly table: string; readonly user: string};
	/** What is written and must not be lost or doubled. */
	readonly written: {readonly group: string; readonly table: string; readonly user: string};
	/** Words for the report. */
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
