/**
 * Seeds that have found a broken promise, and why. `--failed` runs them again.
 */

/** A seed of the default plan that has failed. */
export type FailedSeed = {
	readonly seed: number;
	/** What failed, and how it was fixed. */
	readonly cause: string;
};

/** Every seed that has failed, on a machine with two to three times as many busy processes as cores. */
export const failedSeeds: readonly FailedSeed[] = [
	{seed: 501, cause: 'a promoting node acknowledged writes after it had fenced the replicas; it now invalidates its own leases first'},
	{seed: 502, cause: 'the same'},
	{seed: 900, cause: 'a leaving node went on serving and was not notified of a fence; the promoting node now notifies leaving nodes too'},
];
