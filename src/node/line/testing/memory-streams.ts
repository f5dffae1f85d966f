/**
 * A caller's connection to a node in memory.
 */
import {Duplex} from 'node:stream';
import type {CallerStream} from '../types.js';

/** Largest piece that is read at once. */
const packetBytes = 16_384;

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

	override _destroy(error: Error | null, callback: (error: Error | null) => void): void { // eslint-disable-line @typescript-eslint/no-restricted-types -- the type of the base class
		if (!this.writableFinished && this.other?.destroyed === false) {
			this.other.push(null);
		}

		callback(error);
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

	/** Gives a chunk to the other end in packets, each once that one wants more. */
	private _pass(chunk: Uint8Array, onTaken: () => void): void {
		const {other} = this;
		if (!other || this.destroyed || other.destroyed || chunk.length === 0) {
			onTaken();
			return;
		}

		const passRest = (): void => {
			this._pass(chunk.subarray(packetBytes), onTaken);
		};

		if (other.push(chunk.subarray(0, packetBytes))) {
			passRest();
		} else {
			other._onRead = passRest;
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
