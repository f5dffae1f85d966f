/**
 * Defaults and bounds of a node's settings, in one table.
 */

/** Value of every setting that may be left out; times in milliseconds, sizes in bytes. */
export const settingsDefaults = {
	node: {region: 'local'},
	callers: {
		port: 5432,
		maximumConnections: 2000,
		isTlsRequired: false,
		maximumMessageBytes: 16 * 1024 * 1024,
		/** Bytes of requests that all callers together may have under way. */
		maximumBufferedBytes: 256 * 1024 * 1024,
		/** A caller without a token is always answered by the primary. */
		tokenlessReads: 'primary',
		/** Time for start-up, TLS and authentication of a caller together. */
		startUpTimeoutMs: 10_000,
		/** Longest time that a caller may leave an answer untaken. */
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
		/** Longest single message that is taken from an endpoint. */
		maximumBackendMessageBytes: 64 * 1024 * 1024,
	},
	timings: {
		/** Longest wait for running work on a graceful shutdown. */
		drainMs: 20_000,
		/** Time after the shutdown's announcement in which new callers are still served. */
		drainNoticeMs: 500,
	},
} as const;

/** Bounds of settings. */
export const settingsBounds = {
	nameLength: 63,
	/** Shorter keys of session tokens could be guessed. */
	tokenKeyLength: 16,
	/** Each is tried on every token of another key. */
	previousTokenKeys: 4,
	maximumPort: 65_535,
	maximumDurationMs: 86_400_000,
	maximumCount: 1_000_000,
	maximumSizeBytes: 1024 * 1024 * 1024,
} as const;
