/**
 * Derives the options of a node's components from its settings.
 */
import type {NodeOptions} from '../common/node-core.js';
import type {Host} from '../common/services/services.js';
import type {Settings} from '../common/settings/settings-schema.js';
import type {Authentication, CallerOptions} from './callers/types.js';
import type {OperatorServerOptions} from './operators/types.js';
import type {PeerTls} from './peers/types.js';
import type {PlatformSettings} from './platform/settings.js';

/** The caller listener's names of the settings' authentication methods. */
const authenticationByMethod: Record<Settings['callers']['authentication']['method'], Authentication> = {
	none: 'none',
	cleartext: 'cleartextPassword',
	md5: 'md5Password',
};

/** Options of the caller listener. */
export function callerOptionsOf({callers}: Settings): Partial<CallerOptions> {
	const {method, users} = callers.authentication;
	return {
		authentication: authenticationByMethod[method],
		users: users.map(({user, password, labels}) => ({name: user, password, labels})),
		tls: callers.tls && {key: callers.tls.key, cert: callers.tls.certificate},
		isTlsRequired: callers.isTlsRequired,
		tokenlessReads: callers.tokenlessReads,
		maximumConnections: callers.maximumConnections,
		maximumMessageBytes: callers.maximumMessageBytes,
		maximumBufferedBytes: callers.maximumBufferedBytes,
		startUpTimeoutMs: callers.startUpTimeoutMs,
		answerStallMs: callers.answerStallMs,
	};
}

/** Options of the components that do not depend on the platform. */
export function nodeOptionsOf({tuning, homes}: Settings): NodeOptions {
	return {...tuning, homes: {...tuning.homes, ...homes}};
}

/** Options of the operators' server. */
export function operatorOptionsOf({operators}: Settings): OperatorServerOptions {
	const {credentials, tls} = operators;
	return {credentials, tls: tls && {key: tls.key, cert: tls.certificate}};
}

/** TLS options of links between nodes; undefined if the links are not encrypted. */
export function peerTlsOf({peers: {tls}}: Settings): PeerTls | undefined {
	return tls && {key: tls.key, certificate: tls.certificate, authority: tls.authority ?? tls.certificate};
}

/** Settings of the platform's adapters. */
export function platformSettingsOf({platform}: Settings): PlatformSettings {
	const {accessKeyId, secretAccessKey} = platform;
	return {
		tableEndpoint: platform.tableEndpointUrl,
		objectsEndpoint: platform.objectEndpointUrl,
		region: platform.region,
		table: platform.tableName,
		bucket: platform.bucket,
		credentials: accessKeyId === undefined || secretAccessKey === undefined ? undefined : {accessKeyId, secretAccessKey},
		connectTimeoutMs: platform.connectTimeoutMs,
		requestTimeoutMs: platform.requestTimeoutMs,
	};
}

/** This host before the port of its operators API is known. */
export type StartingHost = Omit<Host, 'operatorPort'> & {operatorPort: number};

/** This host as it is registered and announced to other nodes. */
export function localHostOf({node, peers, operators}: Settings, peerPort: number, incarnation: string): StartingHost {
	return {
		...node,
		peerHost: peers.advertisedHost ?? peers.host,
		peerPort,
		operatorPort: operators.port,
		isLeaving: false,
		incarnation,
	};
}
