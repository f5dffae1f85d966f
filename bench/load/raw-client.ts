/**
 * A client connection on a bare socket: sends frames that were made before, counts what
 * comes back and decodes next to nothing, so that the load costs little beside what it measures.
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

/** What one answer consisted of. */
export type RawAnswer = {
	frames: number;
	pieces: number;
	sqlState: string | undefined;
};

/** One connection; one request at a time. */
export class RawClient {
	/** Last token that was reported. */
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
			this._fail(new Error('the connection was closed'));
		});
	}

	/** Authenticates; resolves with the first ReadyForQuery. */
	async start(): Promise<void> {
		const {user, group, token} = this._target;
		const parameters: Record<string, string> = {user, database: group};
		if (token !== undefined) {
			parameters.options = `-c ${tokenParameter}=${token}`;
		}

		await this.request(serialize.startup(parameters));
	}

	/** Sends frames that end in one ReadyForQuery; the answer object is used again by the next request. */
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

	/** Ends the connection; resolves once it is closed. */
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
			this._take(type, batch, bodyStart, end);
		}
	}

	private _take(type: number, batch: Uint8Array, bodyStart: number, end: number): void {
		switch (type) {
			case messageTypes.readyForQuery: {
				this._settle?.(undefined);
				break;
			}

			case messageTypes.parameterStatus: {
				this._noteParameter(batch, bodyStart, end);
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

	private _noteParameter(batch: Uint8Array, bodyStart: number, end: number): void {
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
