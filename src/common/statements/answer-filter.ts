/**
 * Removes from an answer the replies to messages that the proxy injected, and updates the
 * session's prepared statements with what the endpoint confirmed.
 */
import {backendCodes} from './constants.js';
import {joinFrames, readUint32} from './frames.js';
import type {PreparedStatement, PreparedStatements} from './prepared-statements.js';

/** A ParseComplete or CloseComplete that is expected; replies come in the order of their requests. */
export type ExpectedReply = {
	/** Whether it answers a message that the caller did not send. */
	readonly isInjected: boolean;
	/** Name of the statement that the caller parses or closes; undefined for other messages. */
	readonly name?: string;
	/** The statement that the caller parses; undefined when it closes the name. */
	readonly statement?: PreparedStatement;
};

/** Filters the answer to one request cycle. */
export class AnswerFilter {
	private readonly _expected: readonly ExpectedReply[];
	private readonly _prepared: PreparedStatements;
	private _next = 0;

	constructor(expected: readonly ExpectedReply[], prepared: PreparedStatements) {
		this._expected = expected;
		this._prepared = prepared;
	}

	/** Filters complete backend messages; returns no bytes if all of them are removed. */
	apply(frames: Uint8Array): Uint8Array {
		const kept: Uint8Array[] = [];
		let keptFrom = 0;
		let offset = 0;
		// Once every expected reply has arrived, the rest passes without its frames being read.
		while (offset < frames.length && this._next < this._expected.length) {
			const end = offset + 1 + readUint32(frames, offset + 1);
			if (this._isInjected(frames[offset])) {
				kept.push(frames.subarray(keptFrom, offset));
				keptFrom = end;
			}

			offset = end;
		}

		if (kept.length === 0) {
			return frames;
		}

		kept.push(frames.subarray(keptFrom));
		return joinFrames(kept.filter(part => part.length > 0));
	}

	private _isInjected(code: number | undefined): boolean {
		if (code !== backendCodes.parseComplete && code !== backendCodes.closeComplete) {
			return false;
		}

		const reply = this._expected[this._next++];
		if (!reply) {
			return false;
		}

		this._updatePrepared(reply);
		return reply.isInjected;
	}

	private _updatePrepared({name, statement}: ExpectedReply): void {
		if (name === undefined) {
			return;
		}

		if (statement) {
			this._prepared.set(name, statement);
		} else {
			this._prepared.delete(name);
		}
	}
}
