/** A caller that sends and receives raw messages of the protocol. */
import {Buffer} from 'node:buffer';
import net, {type Socket} from 'node:net';
import {
	encodeText, joinFrames, makeFrame, readText, readUint32, writeUint32,
} from '../../../common/statements/frames.js';
import {splitFrames} from './fake-router.js';

/** A message of the given code and texts. */
export function message(code: string, ...parts: ReadonlyArray<string | Uint8Array>): Uint8Array {
	return makeFrame(code.codePointAt(0) ?? 0, ...parts.map(part => typeof part === 'string' ? encodeText(part) : part));
}

/** Parse, Bind, Describe and Execute of an unnamed statement. */
export function extended(text: string): Uint8Array {
	return joinFrames([
		message('P', '', text, new Uint8Array(2)),
		message('B', '', '', new Uint8Array(6)),
		message('D', 'P'),
		message('E', '', new Uint8Array(4)),
	]);
}

/** A message that has no code. */
export function untypedMessage(code: number, ...parts: readonly Uint8Array[]): Uint8Array {
	const body = new Uint8Array(4);
	writeUint32(body, 0, code);
	return makeFrame(0, body, ...parts).subarray(1);
}

/** A start-up message with parameters. */
export function startUp(parameters: Readonly<Record<string, string>> = {}, version = 0x3_00_00): Uint8Array {
	const pairs = Object.entries({user: 'app', database: 'stock', ...parameters}).flat().map(text => encodeText(text));
	return untypedMessage(version, ...pairs, Uint8Array.of(0));
}

/** One socket to the server under test. */
export class RawCaller {
	readonly socket: Socket;
	processId = 0;
	secretKey = 0;
	private _received = new Uint8Array(0);
	private _isClosed = false;
	private _wake: (() => void) | undefined;

	constructor(port: number) {
		this.socket = net.connect({host: '127.0.0.1', port, noDelay: true});
		this.socket.on('error', () => undefined);
		this.socket.on('data', chunk => {
			this._received = Buffer.concat([this._received, chunk]);
			this._wake?.();
		});
		this.socket.on('close', () => {
			this._isClosed = true;
			this._wake?.();
		});
	}

	/** Sends bytes. */
	send(...frames: readonly Uint8Array[]): this {
		this.socket.write(joinFrames(frames));
		return this;
	}

	/** Starts a session and reads up to the first ReadyForQuery. */
	async start(parameters: Readonly<Record<string, string>> = {}): Promise<this> {
		this.send(startUp(parameters));
		const frames = await this.readFrames();
		const keys = frames.find(frame => frame[0] === 0x4B);
		this.processId = keys ? readUint32(keys, 5) : 0;
		this.secretKey = keys ? readUint32(keys, 9) : 0;
		return this;
	}

	/** Reads the messages of the given number of answers, each up to ReadyForQuery, or up to the close of the connection. */
	async readFrames(answers = 1): Promise<readonly Uint8Array[]> {
		for (;;) {
			const end = this._endOf(answers);
			if (end > 0 || this._isClosed) {
				const length = end === 0 ? this._received.length : end;
				const frames = splitFrames(this._received.subarray(0, length));
				this._received = this._received.subarray(length);
				return frames;
			}

			await new Promise<void>(resolve => {
				this._wake = resolve;
			});
		}
	}

	/** Short forms of the messages: codes, with the status of ReadyForQuery and the SQLSTATE of errors. */
	async read(answers = 1): Promise<string> {
		const frames = await this.readFrames(answers);
		return frames.map(frame => shorten(frame)).join(' ');
	}

	/** Short forms up to the close of the connection. */
	async readToClose(): Promise<string> {
		return this.read(Number.POSITIVE_INFINITY);
	}

	/** Offset in the received bytes at which the given number of answers ends; zero if they have not been received. */
	private _endOf(answers: number): number {
		let found = 0;
		let offset = 0;
		while (offset + 5 <= this._received.length) {
			const isReady = this._received[offset] === 0x5A;
			offset += 1 + readUint32(this._received, offset + 1);
			found += isReady ? 1 : 0;
			if (found === answers && offset <= this._received.length) {
				return offset;
			}
		}

		return 0;
	}
}

function shorten(frame: Uint8Array): string {
	const code = String.fromCodePoint(frame[0] ?? 0);
	if (code === 'Z') {
		return `Z${String.fromCodePoint(frame[5] ?? 0)}`;
	}

	return code === 'E' ? `E${errorFields(frame).get('C') ?? ''}` : code;
}

/** Fields of an error by their codes. */
export function errorFields(frame: Uint8Array): ReadonlyMap<string, string> {
	const fields = new Map<string, string>();
	for (let offset = 5; offset < frame.length - 1;) {
		const field = readText(frame, offset);
		fields.set(field?.text.charAt(0) ?? '', field?.text.slice(1) ?? '');
		offset = field?.end ?? frame.length;
	}

	return fields;
}
