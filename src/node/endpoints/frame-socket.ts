/**
 * A socket that is read in batches of complete backend messages, with backpressure: it is paused
 * while a batch waits to be read.
 */
import type {Disposable} from '../../common/lifecycle/disposable.js';
import {FrameSplitter} from './frame-splitter.js';
import {messageOf} from './protocol-error.js';
import type {ByteSocket} from './types.js';

/** Reads and writes complete messages on one socket; only one read may be pending at a time. */
export class FrameSocket implements Disposable {
	private readonly _socket: ByteSocket;
	private readonly _splitter: FrameSplitter;
	private readonly _unread: Uint8Array[] = [];
	private _reader: ((batch: Uint8Array | undefined) => void) | undefined;
	private _isClosed = false;
	private _closeDetail = 'connection closed by the endpoint';

	constructor(socket: ByteSocket, maximumMessageBytes: number) {
		this._socket = socket;
		this._splitter = new FrameSplitter(maximumMessageBytes);
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this._onData(chunk);
		});
		socket.on('error', error => {
			this._closeDetail = error.message;
		});
		socket.on('close', () => {
			this._onClose();
		});
	}

	/** Why the connection ended, for logs and faults. */
	get closeDetail(): string {
		return this._closeDetail;
	}

	/** Whether bytes can still be written to the socket. */
	get isWritable(): boolean {
		return this._socket.writable && !this._socket.destroyed;
	}

	/** Writes bytes to the socket; returns false if it is certain that none of them was sent. */
	write(bytes: Uint8Array): boolean {
		if (!this.isWritable) {
			return false;
		}

		this._socket.write(bytes);
		return true;
	}

	/** Resolves with the next batch of complete messages; undefined once the connection has ended. */
	async read(): Promise<Uint8Array | undefined> {
		const batch = this._unread.shift();
		if (batch) {
			return batch;
		}

		if (this._isClosed) {
			return undefined;
		}

		this._socket.resume();
		return new Promise(resolve => {
			this._reader = resolve;
		});
	}

	/** Puts the unread rest of a batch back, to be returned by the next read. */
	unread(batch: Uint8Array): void {
		if (batch.length > 0) {
			this._unread.unshift(batch);
		}
	}

	/** Sends the last bytes and closes the connection without waiting for the other side. */
	end(lastBytes: Uint8Array): void {
		this._closeDetail = 'connection closed by this node';
		this._socket.end(lastBytes);
		this._socket.destroySoon();
	}

	/** Closes the connection at once; `detail` becomes the reason unless it is closed already. */
	destroy(detail: string): void {
		if (!this._socket.destroyed) {
			this._closeDetail = detail;
			this._socket.destroy();
		}
	}

	dispose(): void {
		this.destroy('connection closed by this node');
	}

	private _onData(chunk: Uint8Array): void {
		try {
			const batch = this._splitter.push(chunk);
			if (batch) {
				this._deliver(batch);
			}
		} catch (error) {
			this.destroy(messageOf(error));
		}
	}

	private _deliver(batch: Uint8Array): void {
		const reader = this._reader;
		if (reader) {
			this._reader = undefined;
			reader(batch);
			return;
		}

		this._unread.push(batch);
		this._socket.pause();
	}

	private _onClose(): void {
		this._isClosed = true;
		const reader = this._reader;
		this._reader = undefined;
		reader?.(undefined);
	}
}
