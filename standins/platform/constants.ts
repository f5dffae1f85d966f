/**
 * Limits and timeouts of the platform stand-in.
 */

/** Default write rate; the platform allows several hundred writes per second. */
export const defaultWritesPerSecond = 400;

/** Default read rate; the platform allows about two thousand reads per second. */
export const defaultReadsPerSecond = 2000;

/** Timeout of an in-process client; the same as that of the adapters. */
export const clientTimeoutMs = 2000;

/** Time after which a registration that was not renewed is no longer listed. */
export const registrationExpiryMs = 60_000;

/** Maximum size of a request body that the server accepts. */
export const maximumBodyBytes = 8 * 1024 * 1024;

/** DynamoDB's limit on the size of one page of a query. */
export const maximumPageBytes = 1024 * 1024;

/** The table that exists from the start; its key names are those that the product uses. */
export const defaultTable = {name: 'quetzalstream', partitionKey: 'partition', sortKey: 'sort'};

/** DynamoDB's limit on the size of an item; applied here to the item's JSON, which is a little longer. */
export const maximumItemBytes = 400 * 1024;
