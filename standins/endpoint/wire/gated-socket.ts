/**
 * A socket that faults can hold: while it is held, nothing is read and nothing is written.
 */
import type {Socket} from 'node:net';
import {noop} from '../noop.js';
import type {Disposable} from '../../../src/common/lifecycle/disposable.js';

/** While held, bytes in both directions are kept and delivered after the release, as with a network that loses packets and retransmits them. */
export class GatedSocket implements Disposable {
	readonly socket: Socket;
	/** Name of the peer, once it is known. */
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
		// An error is always followed by 'close', which owners listen for.
		socket.on('error', noop);
		this.refresh();
	}

	/** Whether the socket is held or its write buffer is full. */
	get isFull(): boolean {
		return this._isHeld || this.socket.writableNeedDrain;
	}

	/** Holds or releases the socket, according to the active faults. */
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

	/** Passes every received chunk to a listener from now on. */
	listen(listener: (bytes: Uint8Array) => void): void {
		this.socket.on('data', listener);
		this.flow();
	}

	/** Resumes reading, unless held or without a listener: without one, received bytes would be lost. */
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

	/** Closes the connection after everything that was written is sent. */
	end(): void {
		this._isEnding = true;
		if (!this._isHeld) {
			this.socket.end();
		}
	}

	/** Resolves once the socket is not held. */
	async whenReleased(): Promise<void> {
		if (this._isHeld) {
			await new Promise<void>(resolve => {
				this._releaseListeners.push(resolve);
			});
		}
	}

	/** Resolves once bytes can be written again, or the connection is closed. */
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
