/**
 * A function for places where there is nothing to do.
 */

/** Does nothing. */
export function noop(): void {
	// That is its job.
}
