/**
 * Numbers of the platform adapters.
 *
 * The platform gives about 400 writes and 2000 reads a second for everything. What grows
 * with the number of hosts is the host list; its intervals grow with it, so that the whole
 * system stays under a fixed rate however many hosts there are (docs/PLATFORM.md).
 */

/** Time within which a connection to the platform is made or given up. */
export const defaultConnectTimeoutMs = 500;

/** Time within which an operation is answered or given up. The outcome of a write is then unknown. */
export const defaultRequestTimeoutMs = 1500;

/** Connections to each service; more operations than these wait within their timeout. */
export const maximumSockets = 16;

/** Most items that one page of a query asks for. */
export const maximumPageItems = 1000;

/** Partition of the host registrations. */
export const hostsPartition = 'hosts';

/** Partitions that are read at half price from any copy, because their reader bears lag. */
export const eventuallyConsistentPartitions: ReadonlySet<string> = new Set([hostsPartition]);

/** Renewals a second by all hosts together: an eighth of the platform's writes. */
export const maximumRenewalsPerSecond = 50;

/** Reads of the host list a second by all hosts together: a hundredth of the platform's reads. */
export const maximumListReadsPerSecond = 20;

/** Shortest time between two renewals of one host. */
export const minimumRenewalIntervalMs = 10_000;

/** Shortest time between two reads of the list by one host. */
export const minimumListReadIntervalMs = 5000;

/** Intervals are drawn this much around their value, so that hosts don't fall into step. */
export const intervalJitterShare = 0.2;

/** A registration lasts this many renewal intervals: two may fail before the last one counts. */
export const intervalsUntilExpiry = 4;

/** Hosts that one query of the list asks for; about 300 bytes each, so a page stays below 1 MiB. */
export const hostsPageItems = 1000;
