/**
 * A minimal server for tests of the endpoint connections: it answers each frontend message with
 * frames that the test supplies, so that tests can also send invalid messages.
 */
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import type {EndpointAddress} from '../../../common/services/services.js';
import {joinBytes} from '../bytes.js';

/** Answers one frontend message; the first message of a connection has the type `start`. */
export type CannedAnswer = (message: {type: string; body: string}, socket: Socket) => Uint8Array[] | undefined;

const encoder = new TextEncoder();

/** Encodes a backend message. */
export function frame(type: string, ...parts: Array<Uint8Array | string>): Uint8Array {
	const bodies = parts.map(part => typeof part === 'string' ? encoder.encode(part) : part);
	const length = 4 + bodies.reduce((sum, body) => sum + body.length, 0);
	return join([encoder.encode(type), int32(length), ...bodies]);
}

/** Encodes a ParameterStatus. */
export function parameter(name: string, value: string): Uint8Array {
	return frame('S', `${name}\0${value}\0`);
}

/** Encodes an ErrorResponse. */
export function errorResponse(sqlState: string, severity = 'ERROR'): Uint8Array {
	return frame('E', `S${severity}\0V${severity}\0C${sqlState}\0Mrefused\0\0`);
}

/** Encodes a DataRow of text values. */
export function dataRow(...values: string[]): Uint8Array {
	const columns = values.flatMap(value => [int32(encoder.encode(value).length), encoder.encode(value)]);
	return frame('D', Uint8Array.of(0, values.length), ...columns);
}

/** Encodes a ReadyForQuery. */
export function ready(status = 'I'): Uint8Array {
	return frame('Z', status);
}

/** Messages that an endpoint sends at the end of a start-up without authentication. */
export function startUpMessages(...parameters: Uint8Array[]): Uint8Array[] {
	return [frame('R', int32(0)), frame('K', int32(7), int32(9)), ...parameters, ready()];
}

/** Encodes a 32-bit number, most significant byte first. */
export function int32(value: number): Uint8Array {
	const bytes = new Uint8Array(4);
	new DataView(bytes.buffer).setInt32(0, value);
	return bytes;
}

/** Concatenates chunks. */
export function join(chunks: readonly Uint8Array[]): Uint8Array {
	return joinBytes(chunks, chunks.reduce((sum, chunk) => sum + chunk.length, 0));
}

/** Listens on a free port and answers with canned messages. */
export class CannedEndpoint {
	/** Messages received, by connection, as type and body. */
	readonly received: string[][] = [];
	private readonly _server: Server;
	private readonly _sockets = new Set<Socket>();

	constructor(answer: CannedAnswer) {
		this._server = createServer(socket => {
			this._sockets.add(socket);
			this._serve(socket, answer);
		});
	}

	/** The open connections, oldest first. */
	get sockets(): readonly Socket[] {
		return [...this._sockets];
	}

	async listen(): Promise<EndpointAddress> {
		this._server.listen(0, '127.0.0.1');
		await once(this._server, 'listening');
		const address = this._server.address();
		if (address === null || typeof address === 'string') {
			throw new Error('the test server does not listen on TCP');
		}

		return {
			name: 'e1', group: 'stock', availabilityZone: 'a', host: '127.0.0.1', port: address.port,
		};
	}

	close(): void {
		this._server.close();
		for (const socket of this._sockets) {
			socket.destroy();
		}
	}

	private _serve(socket: Socket, answer: CannedAnswer): void {
		const messages: string[] = [];
		this.received.push(messages);
		let rest = '';
		socket.setNoDelay(true);
		socket.setEncoding('latin1');
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this._sockets.delete(socket);
		});
		socket.on('data', (chunk: string) => {
			rest += chunk;
			for (;;) {
				const prefix = messages.length === 0 ? 0 : 1;
				if (rest.length < prefix + 4) {
					return;
				}

				const end = prefix + lengthOf(rest.slice(prefix));
				if (rest.length < end) {
					return;
				}

				const message = {type: prefix === 0 ? 'start' : rest[0], body: rest.slice(prefix + 4, end)};
				rest = rest.slice(end);
				messages.push(message.type + message.body);
				const frames = answer(message, socket);
				if (frames) {
					socket.write(join(frames));
				}
			}
		});
	}
}

function lengthOf(text: string): number {
	return [0, 1, 2, 3].reduce((sum, index) => (sum * 256) + text.codePointAt(index)!, 0);
}
