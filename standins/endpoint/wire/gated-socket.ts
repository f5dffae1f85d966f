/**
 * A socket that can be held: nothing comes in and nothing goes out until it is let go.
 */
import type {Socket} from 'node:net';
import {noop} from '../noop.js';
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';

/** Bytes to either side are kept while held, as a network does that drops and sends again. */
export class GatedSocket implements Disposable {
	readonly socket: Socket;
	/** Who is on the other side, once that is known. */
	peer: string | undefined;
	private readonly _isHeldFor: (peer: string | undefined) => boolean;
	private _heldWrites: Uint8Array[] = [];
	private _isEnding = false;
	private _isHeld = false;
	private _releaseListeners: Array<() => void> = [];

	constructor(socket: Socket, isHeldFor: (peer: string | undefined) => boolean) {
		this.socket = socket;
		this._isHeldFor = isHeldFor;
		socket.setNoDelay(true);
		// An error is always followed by 'close', which is where owners react.
		socket.on('error', noop);
		this.refresh();
	}

	/** Whether the other side takes no more bytes for now. */
	get isFull(): boolean {
		return this._isHeld || this.socket.writableNeedDrain;
	}

	/** Looks again whether it is held. */
	refresh(): void {
		const isHeld = this._isHeldFor(this.peer);
		if (isHeld === this._isHeld) {
			return;
		}

		this._isHeld = isHeld;
		if (isHeld) {
			this.socket.pause();
		} else {
			this._release();
		}
	}

	/** Gives every chunk to a listener, from now on. */
	listen(listener: (bytes: Uint8Array) => void): void {
		this.socket.on('data', listener);
		this.flow();
	}

	/** Lets bytes come in, unless held. Without a listener they would be lost. */
	flow(): void {
		if (this._isHeld) {
			this.socket.pause();
		} else if (this.socket.listenerCount('data') > 0) {
			this.socket.resume();
		}
	}

	write(bytes: Uint8Array): void {
		if (this._isHeld) {
			this._heldWrites.push(bytes);
		} else if (this.socket.writable) {
			this.socket.write(bytes);
		}
	}

	/** Closes after what was written. */
	end(): void {
		this._isEnding = true;
		if (!this._isHeld) {
			this.socket.end();
		}
	}

	/** Resolves once it is not held. */
	async whenReleased(): Promise<void> {
		if (this._isHeld) {
			await new Promise<void>(resolve => {
				this._releaseListeners.push(resolve);
			});
		}
	}

	/** Resolves once the other side takes bytes again, or never will. */
	async whenWritable(): Promise<void> {
		await this.whenReleased();
		if (this.socket.writableNeedDrain) {
			await new Promise<void>(resolve => {
				this.socket.once('drain', resolve);
				this.socket.once('close', resolve);
			});
		}
	}

	dispose(): void {
		this._heldWrites = [];
		this.socket.destroy();
	}

	private _release(): void {
		for (const bytes of this._heldWrites) {
			this.socket.write(bytes);
		}

		this._heldWrites = [];
		this.flow();
		if (this._isEnding) {
			this.socket.end();
		}

		for (const resolve of this._releaseListeners) {
			resolve();
		}

		this._releaseListeners = [];
	}
}
