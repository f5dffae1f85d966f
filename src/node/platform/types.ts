/**
 * Types that the platform adapters share.
 */

/** The platform's own clock, as far as its answers told. */
export type PlatformTime = {
	/** Milliseconds since 1970; undefined until the platform has answered once. */
	platformNowMs(): number | undefined;
};
