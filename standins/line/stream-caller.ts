/**
 * A caller that is connected to a node in memory and sends one request at a time.
 */
import type {CallerStream} from '../../src/node/line/types.js';

/** What came of a request: the lines of its answer, or the end of the connection before a complete one. */
export type CallerAnswer = {readonly lines: readonly string[]; readonly isCut: boolean};

/** Sends requests over a connection, and notices when the node ends it. */
export class StreamCaller {
	private readonly _stream: CallerStream;
	private _received = '';
	private _isEnded = false;
	private _count = 0;
	private _onProgress: (() => void) | undefined;

	constructor(stream: CallerStream) {
		this._stream = stream;
		stream.setEncoding('latin1');
		stream.on('data', (text: string) => {
			this._received += text;
			this._onProgress?.();
		});
		for (const event of ['end', 'close']) {
			stream.on(event, () => {
				this._isEnded = true;
				this._onProgress?.();
			});
		}
	}

	/** Whether the node has ended the connection. */
	get isEnded(): boolean {
		return this._isEnded;
	}

	/** Begins the session. */
	async startUp(database: string): Promise<CallerAnswer> {
		return this._exchange(`STARTUP ${database} caller`);
	}

	/** Sends a statement. */
	async send(text: string): Promise<CallerAnswer> {
		this._count += 1;
		return this._exchange(`QUERY s${this._count} ${text}`);
	}

	/** Stops reading what the node sends. */
	pause(): void {
		this._stream.pause();
	}

	resume(): void {
		this._stream.resume();
	}

	private async _exchange(line: string): Promise<CallerAnswer> {
		this._stream.write(`${line}\r\n`);
		await new Promise<void>(resolve => {
			this._onProgress = () => {
				if (this._isEnded || /^READY .*\r\n$/mv.test(this._received)) {
					resolve();
				}
			};

			this._onProgress();
		});
		this._onProgress = undefined;
		const lines = this._received.split('\r\n').slice(0, -1);
		this._received = '';
		return {lines, isCut: lines.at(-1)?.startsWith('READY ') !== true};
	}
}
