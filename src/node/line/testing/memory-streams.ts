/**
 * A caller's connection to a node in memory.
 */
import {Duplex} from 'node:stream';
import type {CallerStream} from '../types.js';

/** One end of a connection; what is written to it is read at the other end. */
class MemoryStream extends Duplex implements CallerStream {
	other: MemoryStream | undefined;
	private _onRead: (() => void) | undefined;

	override _read(): void {
		const onRead = this._onRead;
		this._onRead = undefined;
		onRead?.();
	}

	override _write(chunk: Uint8Array, encoding: BufferEncoding, callback: () => void): void {
		this._pass(chunk, callback);
	}

	override _final(callback: () => void): void {
		this.other?.push(null);
		callback();
	}

	destroySoon(): void {
		if (this.writableFinished) {
			this.destroy();
			return;
		}

		this.end();
		this.once('finish', () => {
			this.destroy();
		});
	}

	/** Gives a chunk to the other end, and continues once that one wants more. */
	private _pass(chunk: Uint8Array, onTaken: () => void): void {
		const {other} = this;
		if (!other || other.destroyed || other.push(chunk)) {
			onTaken();
		} else {
			other._onRead = onTaken;
		}
	}
}

/** Creates a connection: the caller's end and the node's end. */
export function createMemoryStreams(): {readonly caller: CallerStream; readonly node: CallerStream} {
	const caller = new MemoryStream();
	const node = new MemoryStream();
	caller.other = node;
	node.other = caller;
	return {caller, node};
}
