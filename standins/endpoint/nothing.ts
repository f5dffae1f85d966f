/**
 * A function for places where there is nothing to do.
 */

/** Does nothing. */
export function doNothing(): void {
	// That is its job.
}
