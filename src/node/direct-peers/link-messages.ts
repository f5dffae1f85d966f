/**
 * Encoding and decoding of the messages on links. A message that cannot be sent or read fails its own
 * call: gRPC would end the stream, and with it every other call in flight to the peer.
 */
import {BinaryReader} from '@bufbuild/protobuf/wire';
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import type {MessageFns} from '../peers/generated/quetzalstream/direct.js';
import {LinkAnswer, LinkCall} from '../peers/generated/quetzalstream/direct.js';
import {directPeerDefaults, unsolicitedId} from './constants.js';

/** Why a message cannot be sent: its size, or a number that its field does not hold. */
export type UnsendableMessage = {readonly cause: 'tooLarge' | 'invalid'; readonly detail: string};

/** Tag of the id, which is field 1 of calls and answers and is encoded first. */
const idTag = 8;

/** Encodes a call. */
export function encodeCall(call: LinkCall): Either<UnsendableMessage, Uint8Array> {
	return encode(LinkCall, call);
}

/** Encodes an answer. */
export function encodeAnswer(answer: LinkAnswer): Either<UnsendableMessage, Uint8Array> {
	return encode(LinkAnswer, answer);
}

/** Decodes a call; one that cannot be read has its id only, and fails like one of an unknown kind. */
export function decodeCall(bytes: Uint8Array): LinkCall {
	try {
		return LinkCall.decode(bytes);
	} catch {
		return {id: idOf(bytes), call: undefined};
	}
}

/** Decodes an answer; one that cannot be read has its id only, and fails its call. */
export function decodeAnswer(bytes: Uint8Array): LinkAnswer {
	try {
		return LinkAnswer.decode(bytes);
	} catch {
		return {id: idOf(bytes), answer: undefined};
	}
}

function encode<T>(codec: MessageFns<T>, message: T): Either<UnsendableMessage, Uint8Array> {
	const {maximumMessageBytes} = directPeerDefaults;
	try {
		const bytes = codec.encode(message).finish();
		return bytes.length > maximumMessageBytes
			? Left({cause: 'tooLarge', detail: `${bytes.length} bytes are more than the ${maximumMessageBytes} of a message between nodes`})
			: Right(bytes);
	} catch (error) {
		return Left({cause: 'invalid', detail: String(error)});
	}
}

function idOf(bytes: Uint8Array): number {
	try {
		const reader = new BinaryReader(bytes);
		return reader.uint32() === idTag ? Number(reader.uint64()) : unsolicitedId;
	} catch {
		return unsolicitedId;
	}
}
