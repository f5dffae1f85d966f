/**
 * Types that the platform adapters share.
 */

/** The platform's clock, as known from its responses. */
export type PlatformTime = {
	/** Milliseconds since 1970; undefined until the platform has answered once. */
	platformNowMs(): number | undefined;
};
