/**
 * Limits and names of the platform adapters; docs/PLATFORM.md describes what they cost.
 */

/** Maximum number of connections to each service; further operations wait for one within their timeout. */
export const maximumSockets = 16;

/** Maximum number of items that one page of a query requests. */
export const maximumPageItems = 1000;

/** Partition of the host registrations. */
export const hostsPartition = 'hosts';

/** Partitions with eventually consistent reads, at half the price of consistent ones, since their readers tolerate lag. */
export const eventuallyConsistentPartitions: ReadonlySet<string> = new Set([hostsPartition]);

/** A registration expires after this many renewal intervals, so that two renewals may fail before it does. */
export const intervalsUntilExpiry = 4;

/** Number of hosts that one query of the host list requests; at about 300 bytes each, a page stays below 1 MiB. */
export const hostsPageItems = 1000;
