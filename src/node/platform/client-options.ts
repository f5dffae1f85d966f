/**
 * Options that the clients of the table service and of the object store share.
 */
import {NodeHttpHandler} from '@smithy/node-http-handler';
import {maximumSockets} from './constants.js';
import type {PlatformSettings} from './settings.js';

/** Options of a client: the timeouts from the settings, and a single attempt, since callers could not observe retries inside the client. */
export function clientOptions(settings: PlatformSettings, endpoint: string | undefined) {
	return {
		region: settings.region,
		maxAttempts: 1,
		...(endpoint !== undefined && {endpoint}),
		...(settings.credentials && {credentials: settings.credentials}),
		requestHandler: new NodeHttpHandler({
			connectionTimeout: settings.connectTimeoutMs,
			requestTimeout: settings.requestTimeoutMs,
			throwOnRequestTimeout: true,
			httpAgent: {keepAlive: true, maxSockets: maximumSockets},
			httpsAgent: {keepAlive: true, maxSockets: maximumSockets},
			// The operation's timeout bounds the wait for a socket; this longer threshold keeps the client from also logging a warning.
			socketAcquisitionWarningTimeout: 2 * settings.requestTimeoutMs,
		}),
	};
}
