/**
 * A client connection on a plain socket: sends frames that were encoded beforehand, counts what
 * comes back and decodes almost nothing, so that the load costs little compared with what it measures.
 */
import {createHash} from 'node:crypto';
import {createConnection, type Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import {FrameSplitter} from '../../src/node/endpoints/frame-splitter.js';
import {framesIn, readError, readParameter} from '../../src/node/endpoints/frames.js';
import {answerTimeoutMs} from './constants.js';
import type {LoadTarget} from './types.js';

const messageTypes = {
	authentication: 0x52,
	errorResponse: 0x45,
	parameterStatus: 0x53,
	readyForQuery: 0x5A,
} as const;

const authenticationMd5 = 5;
const tokenParameter = 'quetzalstream.token';
const maximumMessageBytes = 1024 * 1024;

/** Number of messages in one answer, number of socket reads (`pieces`) in which it arrived, and the SQLSTATE of its first error. */
export type RawAnswer = {
	frames: number;
	pieces: number;
	sqlState: string | undefined;
};

/** One connection, which runs one request at a time. */
export class RawClient {
	/** The last session token that was reported; empty if there was none. */
	token = '';
	private readonly _target: LoadTarget;
	private readonly _socket: Socket;
	private readonly _splitter = new FrameSplitter(maximumMessageBytes);
	private readonly _answer: RawAnswer = {frames: 0, pieces: 0, sqlState: undefined};
	private _settle: ((error: Error | undefined) => void) | undefined;

	constructor(target: LoadTarget) {
		this._target = target;
		this._socket = createConnection({host: target.host, port: target.port, noDelay: true});
		this._socket.on('data', chunk => {
			this._receive(chunk);
		});
		this._socket.on('error', error => {
			this._fail(error);
		});
		this._socket.on('close', () => {
			this._fail(new Error('connection closed before the answer was complete'));
		});
	}

	/** Authenticates; resolves at the first ReadyForQuery, rejects if the connection is refused or lost. */
	async start(): Promise<void> {
		const {user, group, token} = this._target;
		const parameters: Record<string, string> = {user, database: group};
		if (token !== undefined) {
			parameters.options = `-c ${tokenParameter}=${token}`;
		}

		await this.request(serialize.startup(parameters));
	}

	/** Sends frames that lead to exactly one ReadyForQuery and resolves with the answer; the next request reuses the answer object. */
	async request(frames: Uint8Array): Promise<RawAnswer> {
		const answer = this._answer;
		answer.frames = 0;
		answer.pieces = 0;
		answer.sqlState = undefined;
		await new Promise<void>((resolve, reject) => {
			this._settle = error => {
				this._settle = undefined;
				if (error) {
					reject(error);
				} else {
					resolve();
				}
			};

			this._socket.write(frames);
		});
		return answer;
	}

	/** Ends the connection gracefully, or destroys its socket after a timeout; resolves once it is closed. */
	async close(): Promise<void> {
		if (this._socket.destroyed) {
			return;
		}

		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this._socket.destroy();
			}, answerTimeoutMs);
			this._socket.once('close', () => {
				clearTimeout(timer);
				resolve();
			});
			this._socket.end(serialize.end());
		});
	}

	private _receive(chunk: Uint8Array): void {
		this._answer.pieces++;
		const batch = this._splitter.push(chunk);
		if (!batch) {
			return;
		}

		for (const {type, bodyStart, end} of framesIn(batch)) {
			this._answer.frames++;
			this._handleMessage(type, batch, bodyStart, end);
		}
	}

	private _handleMessage(type: number, batch: Uint8Array, bodyStart: number, end: number): void {
		switch (type) {
			case messageTypes.readyForQuery: {
				this._settle?.(undefined);
				break;
			}

			case messageTypes.parameterStatus: {
				this._recordParameter(batch, bodyStart, end);
				break;
			}

			case messageTypes.errorResponse: {
				this._answer.sqlState ??= readError(batch, bodyStart, end).sqlState;
				break;
			}

			case messageTypes.authentication: {
				this._authenticate(batch.subarray(bodyStart, end));
				break;
			}

			default:
		}
	}

	private _recordParameter(batch: Uint8Array, bodyStart: number, end: number): void {
		const {name, value} = readParameter(batch, bodyStart, end);
		if (name === tokenParameter) {
			this.token = value;
		}
	}

	private _authenticate(body: Uint8Array): void {
		if (body[3] === authenticationMd5) {
			const {user, password} = this._target;
			const inner = createHash('md5').update(password + user).digest('hex');
			const outer = createHash('md5').update(inner).update(body.subarray(4, 8)).digest('hex');
			this._socket.write(serialize.password(`md5${outer}`));
		}
	}

	private _fail(error: Error): void {
		const {sqlState} = this._answer;
		this._settle?.(sqlState === undefined ? error : new Error(`refused with ${sqlState}`));
	}
}
