/**
 * Fixed values of the wire server.
 */

/** Answers are handed over together beyond this size even if the input has not ended. */
export const flushSizeBytes = 65_536;

/** Parameters that every connection is told of at its start. */
export const startParameters = ['server_version', 'server_encoding', 'client_encoding', 'DateStyle', 'TimeZone', 'integer_datetimes', 'standard_conforming_strings'] as const;
