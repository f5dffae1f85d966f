/**
 * Writes answers to a caller. The last piece of an answer is buffered, so that it is sent in
 * one write with the frames that end the answer. Writing waits while the caller reads slowly.
 */
import type {Socket} from 'node:net';
import type {AnswerSink, Clock} from '../../common/services/services.js';
import type {AnswerFilter} from '../../common/statements/answer-filter.js';
import {joinFrames} from '../../common/statements/frames.js';
import {joinedAnswerBytes} from './constants.js';

/** Writes the answers of one connection. */
export class AnswerWriter implements AnswerSink {
	private readonly _socket: Socket;
	private readonly _clock: Clock;
	private readonly _stallMs: number;
	private _filter: AnswerFilter | undefined;
	private _buffered: Uint8Array | undefined;

	constructor(socket: Socket, clock: Clock, stallMs: number) {
		this._socket = socket;
		this._clock = clock;
		this._stallMs = stallMs;
	}

	/** Begins an answer; its frames pass through the filter if one is given. */
	begin(filter?: AnswerFilter): void {
		this._filter = filter;
		this._buffered = undefined;
	}

	push(frames: Uint8Array): void | Promise<void> {
		const filtered = this._filter ? this._filter.apply(frames) : frames;
		if (filtered.length === 0) {
			return;
		}

		const buffered = this._buffered;
		this._buffered = filtered;
		if (buffered) {
			return this._write(buffered);
		}
	}

	/** Drops the buffered piece. */
	discardBuffered(): void {
		this._buffered = undefined;
	}

	/** Ends an answer: writes the buffered piece and the frames given. */
	finish(frames: readonly Uint8Array[]): void | Promise<void> {
		const buffered = this._buffered;
		this._buffered = undefined;
		this._filter = undefined;
		if (!buffered || buffered.length <= joinedAnswerBytes) {
			return this._write(joinFrames(buffered ? [buffered, ...frames] : frames));
		}

		// Corking sends both buffers in one system call; copying them into one would cost more.
		this._socket.cork();
		this._socket.write(buffered);
		const written = this._write(joinFrames(frames));
		this._socket.uncork();
		return written;
	}

	private _write(bytes: Uint8Array): void | Promise<void> {
		if (bytes.length === 0 || this._socket.destroyed || this._socket.write(bytes)) {
			return;
		}

		return this._waitForDrain();
	}

	private async _waitForDrain(): Promise<void> {
		// A caller that does not read its answer must not occupy an endpoint's connection.
		const timer = this._clock.setTimer(this._stallMs, () => {
			this._socket.destroy();
		});
		await new Promise<void>(resolve => {
			const onDone = () => {
				this._socket.off('drain', onDone);
				this._socket.off('close', onDone);
				resolve();
			};

			this._socket.on('drain', onDone);
			this._socket.on('close', onDone);
		});
		timer.dispose();
	}
}
