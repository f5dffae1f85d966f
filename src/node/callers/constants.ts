/** Option defaults, limits and protocol codes of the caller listener. */
import type {CallerOptions} from './types.js';

/** Defaults of the caller listener's options. */
export const callerDefaults: CallerOptions = {
	authentication: 'none',
	users: [],
	tls: undefined,
	isTlsRequired: false,
	tokenlessReads: 'primary',
	maximumConnections: 4000,
	maximumMessageBytes: 16 * 1024 * 1024,
	maximumBufferedBytes: 256 * 1024 * 1024,
	startUpTimeoutMs: 10_000,
	answerStallMs: 30_000,
	serverVersion: '15.0',
};

/** Maximum size of a message before the caller is authenticated, in bytes. */
export const maximumStartUpBytes = 10 * 1024;

/** Buffered bytes above which reading from a socket pauses, unless the next message needs more to be whole. */
export const readAheadBytes = 64 * 1024;

/** Maximum size of the last piece of an answer that is copied into one buffer with the frames that end the answer, in bytes. */
export const joinedAnswerBytes = 64 * 1024;

/** Connections over the maximum that are refused with an error message of the protocol; further ones are closed without a message. */
export const maximumRefusedConnections = 64;

/** Time that a caller has to close its side after the last message before its socket is destroyed. */
export const closeGraceMs = 1000;

/** Request codes that a start-up message carries in place of a protocol version. */
export const requestCodes = {
	cancel: 80_877_102,
	ssl: 80_877_103,
	gss: 80_877_104,
} as const;

/** Major number of the protocol version that is served. */
export const protocolMajor = 3;

/** Code of the messages that answer an authentication request. */
export const passwordCode = 0x70;
