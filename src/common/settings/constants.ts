/**
 * Defaults and limits of a node's settings.
 */

/** Default of every optional setting; times are in milliseconds, sizes in bytes. */
export const settingsDefaults = {
	node: {region: 'local'},
	callers: {
		port: 5432,
		maximumConnections: 2000,
		isTlsRequired: false,
		maximumMessageBytes: 16 * 1024 * 1024,
		/** Maximum size of the in-flight requests of all callers together. */
		maximumBufferedBytes: 256 * 1024 * 1024,
		/** Reads of a caller without a session token always go to the primary. */
		tokenlessReads: 'primary',
		/** Timeout for start-up, TLS handshake and authentication of a caller together. */
		startUpTimeoutMs: 10_000,
		/** Maximum time for which a caller may leave an answer unread. */
		answerStallMs: 30_000,
	},
	peers: {port: 7400},
	operators: {port: 8080},
	platform: {
		region: 'local',
		tableName: 'quetzalstream',
		bucket: 'quetzalstream',
		connectTimeoutMs: 500,
		requestTimeoutMs: 2000,
	},
	endpoints: {
		connectTimeoutMs: 2000,
		controlTimeoutMs: 1000,
	},
	homes: {acknowledgement: 'confirmed'},
	logs: {level: 'info', format: 'json'},
	invariants: {isFatal: false},
	limits: {
		/** Maximum size of a single message from an endpoint. */
		maximumBackendMessageBytes: 64 * 1024 * 1024,
	},
	timings: {
		/** Maximum wait for running work on a graceful shutdown. */
		drainMs: 20_000,
		/** Time after a shutdown has been announced for which new callers are still served. */
		drainNoticeMs: 500,
	},
} as const;

/** Limits on the values of settings. */
export const settingsBounds = {
	nameLength: 63,
	/** Minimum length of a key for session tokens; shorter keys could be guessed. */
	tokenKeyLength: 16,
	/** Maximum number of previous keys; each is tried on every token that is not signed with the current key. */
	previousTokenKeys: 4,
	maximumPort: 65_535,
	maximumDurationMs: 86_400_000,
	maximumCount: 1_000_000,
	maximumSizeBytes: 1024 * 1024 * 1024,
} as const;
