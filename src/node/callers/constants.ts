/** Options of the caller front, their defaults and bounds. */
import type {CallerOptions} from './types.js';

/** Defaults of the caller front's options. */
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

/** Longest message before a caller has been let in, in bytes. */
export const maximumStartUpBytes = 10 * 1024;

/** Received bytes beyond the message in work at which reading pauses. */
export const readAheadBytes = 64 * 1024;

/** Answers up to this size are joined with what ends them into one write, in bytes. */
export const joinedAnswerBytes = 64 * 1024;

/** Connections over the maximum that are told so in the protocol's own way. */
export const maximumRefusedConnections = 64;

/** Time that a caller has to close its side after the last message. */
export const closeGraceMs = 1000;

/** Codes that stand in place of a protocol version in a start-up message. */
export const requestCodes = {
	cancel: 80_877_102,
	ssl: 80_877_103,
	gss: 80_877_104,
} as const;

/** Major number of the protocol version that is served. */
export const protocolMajor = 3;

/** Code of the messages that answer an authentication request. */
export const passwordCode = 0x70;
