/**
 * Constants of the wire server.
 */

/** Buffered responses are sent beyond this size even if there is more input to handle. */
export const flushSizeBytes = 65_536;

/** Parameters that are reported to every client at the start of its connection. */
export const startParameters = ['server_version', 'server_encoding', 'client_encoding', 'DateStyle', 'TimeZone', 'integer_datetimes', 'standard_conforming_strings'] as const;
