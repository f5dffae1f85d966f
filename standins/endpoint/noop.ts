/**
 * A function without effect, for callbacks that have nothing to do.
 */

/** Does nothing. */
export function noop(): void {
	// Intentionally empty.
}
