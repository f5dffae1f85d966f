/**
 * Types of the text protocol's sockets.
 */
import type {Duplex} from 'node:stream';

/** A caller's connection, usually a socket. */
export type CallerStream = Duplex & {
	/** Destroys the connection once everything is written. */
	destroySoon(): void;
};
