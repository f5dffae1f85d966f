/**
 * Seeds that once showed a broken promise, and why. `--failed` plays them again.
 */

/** A seed of the default plan that failed. */
export type FailedSeed = {
	readonly seed: number;
	/** What was broken, and what mended it. */
	readonly cause: string;
};

/** Every seed that ever failed, with two to three times as many busy processes on the machine as cores. */
export const failedSeeds: readonly FailedSeed[] = [
	{seed: 501, cause: 'a promoting node acknowledged writes after it had fenced the replicas; it now voids its own leases first'},
	{seed: 502, cause: 'the same'},
	{seed: 900, cause: 'a node that left served on and was not told of a fence; who promotes now tells those that leave'},
];
