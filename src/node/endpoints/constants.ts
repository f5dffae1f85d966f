/**
 * Names, message types and defaults of the protocol with endpoints (docs/ENDPOINTS.md).
 */

/** Defaults of the connector's options. */
export const connectorDefaults = {
	/** Time limit for connecting, start-up and authentication together. */
	connectTimeoutMs: 2000,
	/** Time limit for one control command, including its wait behind earlier ones. */
	controlTimeoutMs: 1000,
	/** Largest single backend message that is accepted. */
	maximumMessageBytes: 64 * 1024 * 1024,
} as const;

/** Prefix of `application_name` on work connections; the home's id follows. */
export const workPrefix = 'quetzalstream-work:';

/** Prefix of `application_name` on control connections; the observer's id follows. */
export const controlPrefix = 'quetzalstream-control:';

/** Reported parameter that carries the applied position. */
export const positionParameter = 'quetzalstream.position';

/** Reported parameter that carries an instance's state. */
export const stateParameter = 'quetzalstream.state';

/** Size of a message header: type and length. */
export const frameHeaderBytes = 5;

/** Type bytes of backend messages. */
export const backendTypes = {
	authentication: 0x52,
	backendKeyData: 0x4B,
	bindComplete: 0x32,
	closeComplete: 0x33,
	commandComplete: 0x43,
	copyData: 0x64,
	copyDone: 0x63,
	copyOutResponse: 0x48,
	dataRow: 0x44,
	emptyQueryResponse: 0x49,
	errorResponse: 0x45,
	functionCallResponse: 0x56,
	noData: 0x6E,
	noticeResponse: 0x4E,
	notificationResponse: 0x41,
	parameterDescription: 0x74,
	parameterStatus: 0x53,
	parseComplete: 0x31,
	portalSuspended: 0x73,
	readyForQuery: 0x5A,
	rowDescription: 0x54,
} as const;
