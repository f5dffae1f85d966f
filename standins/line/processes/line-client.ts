/**
 * A caller's connection to a node process, in the platform's line protocol.
 */
import {connect, type Socket} from 'node:net';
import {LineSplitter} from '../../../src/node/line/line-splitter.js';

/** Longest wait for one answer, in milliseconds: above every time-out of a node. */
const answerTimeoutMs = 6000;

/** What a node answered to a statement; `code` is empty after a success. */
export type ClientAnswer = {
	readonly rows: readonly string[];
	readonly code: string;
	/** What the endpoint says of itself in a success; empty otherwise. */
	readonly digest: string;
	readonly text: string;
};

/** The connection ended, or no answer came. */
export class ConnectionLostError extends Error {
	override readonly name = 'ConnectionLostError';
}

/** Sends one statement at a time. */
export class LineClient {
	/** Opens a session; rejects with `ConnectionLostError`. */
	static async open(host: string, port: number, database: string, word = 'caller'): Promise<LineClient> {
		const client = new LineClient(connect({host, port, noDelay: true}));
		await client._exchange(`STARTUP ${database} ${word}`);
		return client;
	}

	private readonly _socket: Socket;
	private readonly _splitter = new LineSplitter(1_048_576);
	private _lines: string[] = [];
	private _settle: ((lines: readonly string[] | undefined) => void) | undefined;

	private constructor(socket: Socket) {
		this._socket = socket;
		socket.on('data', chunk => {
			this._lines.push(...this._splitter.push(chunk));
			if (this._lines.at(-1)?.startsWith('READY') === true) {
				const lines = this._lines;
				this._lines = [];
				this._end(lines);
			}
		});
		socket.on('error', () => {
			// What follows is the close.
		});
		socket.on('close', () => {
			this._end(undefined);
		});
	}

	/** Whether statements may still be sent. */
	get isOpen(): boolean {
		return !this._socket.destroyed && this._socket.readyState === 'open';
	}

	/** Sends a statement; rejects with `ConnectionLostError`, after which nothing is known of it. */
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
			throw new ConnectionLostError('closed before');
		}

		const lines = await new Promise<readonly string[] | undefined>(resolve => {
			const timer = setTimeout(() => {
				this._socket.destroy();
			}, answerTimeoutMs);
			this._settle = answered => {
				clearTimeout(timer);
				resolve(answered);
			};

			this._socket.write(`${line}\r\n`);
		});
		if (!lines) {
			throw new ConnectionLostError('the connection ended before an answer');
		}

		return lines;
	}

	private _end(lines: readonly string[] | undefined): void {
		const settle = this._settle;
		this._settle = undefined;
		settle?.(lines);
	}
}
