/**
 * The gRPC service between nodes, from the generated definition.
 */
/* eslint-disable @typescript-eslint/naming-convention, @typescript-eslint/no-restricted-types -- gRPC's own names and its Buffer types */
import {Buffer} from 'node:buffer';
import type {ChannelOptions, ServiceDefinition} from '@grpc/grpc-js';
import {DirectPeerDefinition} from '../peers/generated/quetzalstream/direct.js';
import {directPeerDefaults} from './constants.js';
import {decodeAnswer, decodeCall} from './link-messages.js';

const {methods, fullName} = DirectPeerDefinition;

/** The methods of the service, for both sides. Messages are encoded before they are written to a stream. */
export const directService = {
	link: {
		path: `/${fullName}/${methods.link.name}`,
		requestStream: true,
		responseStream: true,
		requestSerialize: toBuffer,
		requestDeserialize: decodeCall,
		responseSerialize: toBuffer,
		responseDeserialize: decodeAnswer,
	},
} as const satisfies ServiceDefinition;

/** Channel options of both sides. */
export const directChannelOptions: ChannelOptions = {
	'grpc.max_receive_message_length': directPeerDefaults.maximumMessageBytes,
	'grpc.max_send_message_length': directPeerDefaults.maximumMessageBytes,
	// GRPC must not retry: only the sender of a statement knows whether it may be sent again.
	'grpc.enable_retries': 0,
	'grpc.service_config_disable_resolution': 1,
	'grpc.use_local_subchannel_pool': 1,
	'grpc.enable_http_proxy': 0,
	'grpc.enable_channelz': 0,
	// The backoff is short because a network partition may end at any time.
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 400,
};

function toBuffer(bytes: Uint8Array): Buffer {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
