/**
 * The gRPC service of the peer link, derived from the generated definition.
 */
/* eslint-disable @typescript-eslint/naming-convention, @typescript-eslint/no-restricted-types -- gRPC's own names and its Buffer types */
import {Buffer} from 'node:buffer';
import {
	credentials,
	ServerCredentials,
	type ChannelCredentials,
	type ChannelOptions,
	type ServiceDefinition,
} from '@grpc/grpc-js';
import {Batch, PeerDefinition} from './generated/quetzalstream/peer.js';
import type {PeerOptions, PeerTls} from './types.js';

const {link} = PeerDefinition.methods;

/** Path of the service's only method. */
export const linkPath = `/${PeerDefinition.fullName}/${link.name}`;

/** Encodes a batch; the returned buffer is a view of the encoded bytes, not a copy. */
export function serializeBatch(batch: Batch): Buffer {
	const bytes = Batch.encode(batch).finish();
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Decodes a batch; its frames are views of the received bytes. */
export function deserializeBatch(bytes: Buffer): Batch {
	return Batch.decode(bytes);
}

/** Service definition for the serving side. */
export const linkService = {
	link: {
		path: linkPath,
		requestStream: true,
		responseStream: true,
		requestSerialize: serializeBatch,
		requestDeserialize: deserializeBatch,
		responseSerialize: serializeBatch,
		responseDeserialize: deserializeBatch,
	},
} as const satisfies ServiceDefinition;

/** Channel options of both sides. */
export function channelOptions(options: PeerOptions, tls?: PeerTls): ChannelOptions {
	return {
		'grpc.max_receive_message_length': options.maximumMessageBytes,
		'grpc.max_send_message_length': options.maximumMessageBytes,
		'grpc.keepalive_time_ms': options.keepaliveMs,
		'grpc.keepalive_timeout_ms': options.keepaliveTimeoutMs,
		'grpc-node.flow_control_window': options.flowControlWindowBytes,
		// Retries are left to the caller of a request, which alone can tell whether the request may have run.
		'grpc.enable_retries': 0,
		'grpc.service_config_disable_resolution': 1,
		// Each link has a connection of its own, which is closed with the link.
		'grpc.use_local_subchannel_pool': 1,
		'grpc.enable_http_proxy': 0,
		'grpc.enable_channelz': 0,
		...(tls?.serverName && {'grpc.ssl_target_name_override': tls.serverName}),
	};
}

/** Channel credentials of the requesting side. */
export function clientCredentials(tls?: PeerTls): ChannelCredentials {
	if (!tls) {
		return credentials.createInsecure();
	}

	return credentials.createSsl(Buffer.from(tls.authority), Buffer.from(tls.key), Buffer.from(tls.certificate));
}

/** Server credentials of the serving side; with TLS it requires a client certificate issued by the authority. */
export function serverCredentials(tls?: PeerTls): ServerCredentials {
	if (!tls) {
		return ServerCredentials.createInsecure();
	}

	const pair = {private_key: Buffer.from(tls.key), cert_chain: Buffer.from(tls.certificate)};
	return ServerCredentials.createSsl(Buffer.from(tls.authority), [pair], true);
}
