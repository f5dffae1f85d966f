/**
 * The gRPC service of the link, from the generated definition.
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

/** Path of the one method. */
export const linkPath = `/${PeerDefinition.fullName}/${link.name}`;

/** Encodes a batch; the buffer is a view, not a copy. */
export function serializeBatch(batch: Batch): Buffer {
	const bytes = Batch.encode(batch).finish();
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

/** Decodes a batch; its frames are views of the received bytes. */
export function deserializeBatch(bytes: Buffer): Batch {
	return Batch.decode(bytes);
}

/** The service for the answering side. */
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
		// A request is sent again only by who knows whether it ran.
		'grpc.enable_retries': 0,
		'grpc.service_config_disable_resolution': 1,
		// A link has its own connection, which ends with it.
		'grpc.use_local_subchannel_pool': 1,
		'grpc.enable_http_proxy': 0,
		'grpc.enable_channelz': 0,
		...(tls?.serverName && {'grpc.ssl_target_name_override': tls.serverName}),
	};
}

/** Credentials of the asking side. */
export function clientCredentials(tls?: PeerTls): ChannelCredentials {
	if (!tls) {
		return credentials.createInsecure();
	}

	return credentials.createSsl(Buffer.from(tls.authority), Buffer.from(tls.key), Buffer.from(tls.certificate));
}

/** Credentials of the answering side; with TLS it asks for a certificate of the authority. */
export function serverCredentials(tls?: PeerTls): ServerCredentials {
	if (!tls) {
		return ServerCredentials.createInsecure();
	}

	const pair = {private_key: Buffer.from(tls.key), cert_chain: Buffer.from(tls.certificate)};
	return ServerCredentials.createSsl(Buffer.from(tls.authority), [pair], true);
}
