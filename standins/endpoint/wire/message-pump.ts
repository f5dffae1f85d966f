/**
 * The message loop of a connection: splits received bytes into messages and handles them one after the other.
 */
import {FrameReader, type Frame} from './frame-reader.js';

/** Callbacks of the pump. */
export type PumpHandler = {
	/** Handles one message; if it returns a promise, the next message is handled after it. */
	handle(frame: Frame): void | Promise<void>;
	/** Called when all complete messages that were received are handled. */
	onInputDrained(): void;
	/** Called when the bytes are no valid messages or a handler failed; the loop has ended. */
	onError(error: unknown): void;
};

/** One message loop, which runs until `stop`. */
export class MessagePump {
	private readonly _handler: PumpHandler;
	private readonly _reader = new FrameReader();
	private _isStopped = false;
	private _wake: (() => void) | undefined;

	constructor(handler: PumpHandler) {
		this._handler = handler;
	}

	/** Adds received bytes. */
	receive(bytes: Uint8Array): void {
		this._reader.add(bytes);
		this._wake?.();
	}

	/** Handles messages until stopped. */
	async run(): Promise<void> {
		try {
			while (!this._isStopped) {
				const frame = this._reader.next();
				if (frame) {
					const pending = this._handler.handle(frame);
					// Most messages are handled synchronously; awaiting only promises saves them a microtask turn.
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
