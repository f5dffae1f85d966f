/**
 * What the clients of both services have in common.
 */
import {NodeHttpHandler} from '@smithy/node-http-handler';
import {maximumSockets} from './constants.js';
import type {PlatformSettings} from './settings.js';

/** Options of a client: our own timeouts, and no retries that its caller doesn't see. */
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
			// Waiting for a connection is bounded by the timeout of the operation; no warnings.
			socketAcquisitionWarningTimeout: 2 * settings.requestTimeoutMs,
		}),
	};
}
