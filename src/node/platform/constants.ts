/**
 * Numbers of the platform adapters; what they cost is in docs/PLATFORM.md.
 */

/** Connections to each service; more operations than these wait within their timeout. */
export const maximumSockets = 16;

/** Most items that one page of a query asks for. */
export const maximumPageItems = 1000;

/** Partition of the host registrations. */
export const hostsPartition = 'hosts';

/** Partitions that are read at half price from any copy, because their reader bears lag. */
export const eventuallyConsistentPartitions: ReadonlySet<string> = new Set([hostsPartition]);

/** A registration lasts this many renewal intervals: two renewals may fail before it lapses. */
export const intervalsUntilExpiry = 4;

/** Hosts that one query of the list asks for; about 300 bytes each, so a page stays below 1 MiB. */
export const hostsPageItems = 1000;
