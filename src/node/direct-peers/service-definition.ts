/**
 * The gRPC service between nodes, from the generated definition.
 */
/* eslint-disable @typescript-eslint/naming-convention, @typescript-eslint/no-restricted-types -- gRPC's own names and its Buffer types */
import {Buffer} from 'node:buffer';
import type {ChannelOptions, MethodDefinition, ServiceDefinition} from '@grpc/grpc-js';
import type {MessageFns} from '../peers/generated/quetzalstream/direct.js';
import {
	DirectPeerDefinition, ForwardedAnswer, ForwardedRequest, Notice, NoticeAnswer, OverviewAnswer, OverviewRequest,
	RowsAnswer, RowsRequest, StatusAnswer, StatusRequest,
} from '../peers/generated/quetzalstream/direct.js';
import {directPeerDefaults} from './constants.js';

const {methods, fullName} = DirectPeerDefinition;

/** The methods, as both sides use them. */
export const directService = {
	tell: unary(methods.tell.name, Notice, NoticeAnswer),
	overview: unary(methods.overview.name, OverviewRequest, OverviewAnswer),
	run: unary(methods.run.name, ForwardedRequest, ForwardedAnswer),
	status: unary(methods.status.name, StatusRequest, StatusAnswer),
	rows: unary(methods.rows.name, RowsRequest, RowsAnswer),
} as const satisfies ServiceDefinition;

/** Channel options of both sides. */
export const directChannelOptions: ChannelOptions = {
	'grpc.max_receive_message_length': directPeerDefaults.maximumMessageBytes,
	'grpc.max_send_message_length': directPeerDefaults.maximumMessageBytes,
	// A statement is sent again only by who knows whether it ran.
	'grpc.enable_retries': 0,
	'grpc.service_config_disable_resolution': 1,
	'grpc.use_local_subchannel_pool': 1,
	'grpc.enable_http_proxy': 0,
	'grpc.enable_channelz': 0,
	// A peer that could not be reached is tried again soon: cuts end suddenly.
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': 400,
};

function unary<Request, Answer>(name: string, request: MessageFns<Request>, answer: MessageFns<Answer>): MethodDefinition<Request, Answer> {
	return {
		path: `/${fullName}/${name}`,
		requestStream: false,
		responseStream: false,
		requestSerialize: message => toBuffer(request.encode(message).finish()),
		requestDeserialize: bytes => request.decode(bytes),
		responseSerialize: message => toBuffer(answer.encode(message).finish()),
		responseDeserialize: bytes => answer.decode(bytes),
	};
}

function toBuffer(bytes: Uint8Array): Buffer {
	return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
