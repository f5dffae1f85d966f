/**
 * Versions of the platform's store. The store's own counter falls back when the store is restored
 * from an older snapshot, and then repeats numbers. The number of restores is the store's era. A
 * version combines era and counter in one number, so that versions of different eras compare
 * correctly and no version is ever used twice.
 */

/** Number of counters per era; with 13 bits for the era above it, a version is a safe integer. */
const countersPerEra = 2 ** 40;

/** Highest era whose versions are safe integers. */
export const highestEra = (2 ** 13) - 1;

/** Returns the version of a counter in an era. */
export function storeVersion(era: number, counter: number): number {
	return (era * countersPerEra) + counter;
}

/** Returns the era of a version, that is, how often the store had been restored. */
export function eraOf(version: number): number {
	return Math.floor(version / countersPerEra);
}

/** Returns the store's own counter of a version. */
export function counterOf(version: number): number {
	return version % countersPerEra;
}

/** Returns both parts of a version as log fields; empty if the version is undefined. */
export function versionFields(version: number | undefined): {readonly era?: number; readonly version?: number} {
	return version === undefined ? {} : {era: eraOf(version), version: counterOf(version)};
}
