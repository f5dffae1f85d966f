/**
 * Versions of the platform's store. Its counter falls back when the store comes back from an
 * older copy, and counts the same numbers again; how often it has come back is its era. A
 * version is the pair of both in one number, so that versions of two eras compare as they
 * should, and none is ever given out twice.
 */

/** Counters of one era; with 13 bits of eras above it a version is a safe integer. */
const countersPerEra = 2 ** 40;

/** The version at a counter of an era. */
export function storeVersion(era: number, counter: number): number {
	return (era * countersPerEra) + counter;
}

/** How often the store had come back from a copy at a version. */
export function eraOf(version: number): number {
	return Math.floor(version / countersPerEra);
}

/** The store's own number of a version. */
export function counterOf(version: number): number {
	return version % countersPerEra;
}

/** Both parts, for logs. */
export function versionFields(version: number | undefined): {readonly era?: number; readonly version?: number} {
	return version === undefined ? {} : {era: eraOf(version), version: counterOf(version)};
}
