/**
 * Writes answers to a caller: holds the last piece back, so that it goes out in one write
 * with what ends the answer, and waits for a caller that takes its answer slowly.
 */
import type {Socket} from 'node:net';
import type {AnswerSink, Clock} from '../../common/services/services.js';
import type {AnswerFilter} from '../../common/statements/answer-filter.js';
import {joinFrames} from '../../common/statements/frames.js';
import {joinedAnswerBytes} from './constants.js';

/** The sink of one connection. */
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

	/** Begins an answer, whose frames go through a filter if there is one. */
	begin(filter?: AnswerFilter): void {
		this._filter = filter;
		this._buffered = undefined;
	}

	push(frames: Uint8Array): void | Promise<void> {
		const kept = this._filter ? this._filter.apply(frames) : frames;
		if (kept.length === 0) {
			return;
		}

		const held = this._buffered;
		this._buffered = kept;
		if (held) {
			return this._write(held);
		}
	}

	/** Drops the piece that was held back. */
	discardBuffered(): void {
		this._buffered = undefined;
	}

	/** Ends an answer with further frames. */
	finish(frames: readonly Uint8Array[]): void | Promise<void> {
		const held = this._buffered;
		this._buffered = undefined;
		this._filter = undefined;
		if (!held || held.length <= joinedAnswerBytes) {
			return this._write(joinFrames(held ? [held, ...frames] : frames));
		}

		// Two buffers in one system call, where a copy would cost more.
		this._socket.cork();
		this._socket.write(held);
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
		// A caller that takes nothing must not keep an endpoint's connection.
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
