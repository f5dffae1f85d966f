/**
 * A caller's connection to a node process, in the platform's line protocol.
 */
import {connect, type Socket} from 'node:net';
import {LineReader} from '../instance-grammar.js';

/** Timeout of one answer, in milliseconds: above every timeout of a node. */
const answerTimeoutMs = 6000;

/** A node's answer to a statement; `code` is empty after a success. */
export type ClientAnswer = {
	readonly rows: readonly string[];
	readonly code: string;
	/** Text of the endpoint's success line; empty after an error. */
	readonly digest: string;
	readonly text: string;
};

/** The connection ended, or no answer came within the timeout. */
export class ConnectionLostError extends Error {
	override readonly name = 'ConnectionLostError';
}

/** A connection to a node; sends one statement at a time. */
export class LineClient {
	/** Opens a session; rejects with `ConnectionLostError`. */
	static async open(host: string, port: number, database: string, credential = 'caller'): Promise<LineClient> {
		const client = new LineClient(connect({host, port, noDelay: true}));
		await client._exchange(`STARTUP ${database} ${credential}`);
		return client;
	}

	private readonly _socket: Socket;
	private readonly _reader = new LineReader();
	private _lines: string[] = [];
	private _resolvePending: ((lines: readonly string[] | undefined) => void) | undefined;

	private constructor(socket: Socket) {
		this._socket = socket;
		socket.setEncoding('latin1');
		socket.on('data', (received: string) => {
			const lines = this._reader.push(received);
			if (!lines) {
				this._socket.destroy();
				return;
			}

			this._lines.push(...lines);
			if (this._lines.at(-1)?.startsWith('READY') === true) {
				const lines = this._lines;
				this._lines = [];
				this._end(lines);
			}
		});
		socket.on('error', () => {
			// The `close` event follows and is handled below.
		});
		socket.on('close', () => {
			this._end(undefined);
		});
	}

	/** Whether statements can still be sent. */
	get isOpen(): boolean {
		return !this._socket.destroyed && this._socket.readyState === 'open';
	}

	/** Sends a statement whose characters are bytes; rejects with `ConnectionLostError`, after which the outcome of the statement is unknown. */
	async query(id: string, text: string): Promise<ClientAnswer> {
		const lines = await this._exchange(`QUERY ${id} ${text}`);
		const error = lines.find(line => line.startsWith('ERROR '));
		return {
			rows: lines.filter(line => line.startsWith('DATAROW ')).map(line => line.slice('DATAROW '.length)),
			code: error?.split(' ')[1] ?? '',
			digest: lines.find(line => line.startsWith('COMPLETE '))?.slice('COMPLETE '.length) ?? '',
			text: error ?? '',
		};
	}

	close(): void {
		this._socket.destroy();
	}

	private async _exchange(line: string): Promise<readonly string[]> {
		if (this._socket.destroyed) {
			throw new ConnectionLostError('the connection is closed');
		}

		const lines = await new Promise<readonly string[] | undefined>(resolve => {
			const timer = setTimeout(() => {
				this._socket.destroy();
			}, answerTimeoutMs);
			this._resolvePending = answered => {
				clearTimeout(timer);
				resolve(answered);
			};

			this._socket.write(`${line}\r\n`, 'latin1');
		});
		if (!lines) {
			throw new ConnectionLostError('the connection ended before the answer was complete');
		}

		return lines;
	}

	private _end(lines: readonly string[] | undefined): void {
		const resolvePending = this._resolvePending;
		this._resolvePending = undefined;
		resolvePending?.(lines);
	}
}
