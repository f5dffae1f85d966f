/**
 * Types of the streams between nodes. Tests implement them without a network.
 */
import type {Either} from 'purify-ts';
import type {LinkAnswer, LinkCall} from '../peers/generated/quetzalstream/direct.js';

/** The calling side of a link's stream. */
export type CallStream = {
	/** Sends an encoded call. */
	write(call: Uint8Array): unknown;
	cancel(): void;
	on(event: 'data', listener: (answer: LinkAnswer) => void): unknown;
	on(event: 'error', listener: (error: Error) => void): unknown;
	on(event: 'end', listener: () => void): unknown;
};

/** The connection of a link to one peer. */
export type LinkTransport = {
	/** Waits for the connection up to a timeout in milliseconds; resolves with the reason if there is none. */
	waitUntilConnected(timeoutMs: number): Promise<Either<string, undefined>>;
	open(): CallStream;
	/** Closes the connection; the caller has cancelled its stream. */
	close(): void;
};

/** The answering side of a link's stream. */
export type AnswerStream = {
	readonly writable: boolean;
	readonly writableNeedDrain: boolean;
	/** Sends an encoded answer. */
	write(answer: Uint8Array): unknown;
	end(): unknown;
	once(event: 'drain', listener: () => void): unknown;
	on(event: 'data', listener: (call: LinkCall) => void): unknown;
	on(event: 'error', listener: (error: Error) => void): unknown;
	on(event: 'end' | 'close', listener: () => void): unknown;
};
