/**
 * Takes bytes in and handles one message after the other: the task of a connection.
 */
import {FrameReader, type Frame} from './frame-reader.js';

/** What the pump calls. */
export type PumpHandler = {
	/** A promise makes the next message wait. */
	handle(frame: Frame): void | Promise<void>;
	/** Everything that has arrived is handled. */
	onInputDrained(): void;
	/** The bytes make no sense, or handling failed. */
	onError(error: unknown): void;
};

/** One task, which ends with `stop`. */
export class MessagePump {
	private readonly _handler: PumpHandler;
	private readonly _reader = new FrameReader();
	private _isStopped = false;
	private _wake: (() => void) | undefined;

	constructor(handler: PumpHandler) {
		this._handler = handler;
	}

	/** Takes bytes in. */
	receive(bytes: Uint8Array): void {
		this._reader.add(bytes);
		this._wake?.();
	}

	/** Works until stopped. */
	async run(): Promise<void> {
		try {
			while (!this._isStopped) {
				const frame = this._reader.next();
				if (frame) {
					const pending = this._handler.handle(frame);
					// Awaiting only what must be waited for saves a turn for most messages.
					if (pending) {
						await pending;
					}
				} else {
					this._handler.onInputDrained();
					await this._waitForBytes();
				}
			}
		} catch (error) {
			this._handler.onError(error);
		}
	}

	stop(): void {
		this._isStopped = true;
		this._wake?.();
	}

	private async _waitForBytes(): Promise<void> {
		await new Promise<void>(resolve => {
			this._wake = resolve;
		});
		this._wake = undefined;
	}
}
