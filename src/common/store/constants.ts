/**
 * Options of what follows a return of the store from an older copy, in one table. Every time is
 * in milliseconds.
 */

/** Options of restores. */
export const restoreDefaults = {
	/**
	 * Time after a restore in which the store's word is taken for no proof: operators and endpoints
	 * write again what they wrote, endpoints within two seconds, and nodes what they know of
	 * promotions.
	 */
	settleMs: 3000,
	/**
	 * Time after a restore in which nodes may be at work whose registrations are lost: they have not
	 * heard of it yet, or cannot reach the store.
	 */
	unregisteredMs: 30_000,
	/** Time between two looks whether the store has again what a node knows of a group's promotions. */
	putBackEveryMs: 700,
	/** Nodes write the time of a restore down one after the other, this far apart, until it is there. */
	recordStaggerMs: 300,
} as const;

/** Options of restores, as they may be set. */
export type RestoreOptions = {readonly [Name in keyof typeof restoreDefaults]: number};
