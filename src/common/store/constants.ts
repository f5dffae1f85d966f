/**
 * Options for handling a restore of the store from an older snapshot, in one table. Every time is in
 * milliseconds.
 */

/** Default options for handling restores. */
export const restoreDefaults = {
	/**
	 * Time after a restore during which the store's responses prove nothing: operators and endpoints
	 * write again what was lost, endpoints within two seconds, and nodes rewrite what they know of
	 * promotions.
	 */
	settleMs: 3000,
	/**
	 * Time after a restore during which nodes may be running whose registrations are lost: they have
	 * not learned of the restore yet, or cannot reach the store.
	 */
	unregisteredMs: 30_000,
	/** Time between two checks whether the store again holds what a node knows of a group's promotions. */
	putBackEveryMs: 700,
	/** Delay between the nodes that record the time of a restore, which try one after the other until it is recorded. */
	recordStaggerMs: 300,
} as const;

/** Configurable options for handling restores. */
export type RestoreOptions = {readonly [Name in keyof typeof restoreDefaults]: number};
