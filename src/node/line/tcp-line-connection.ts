/**
 * One connection to an endpoint over the text protocol.
 */
import type {Socket} from 'node:net';
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import type {HandlersOf} from '../../common/dispatch.js';
import {dispatch} from '../../common/dispatch.js';
import type {Event} from '../../common/lifecycle/emitter.js';
import {Emitter} from '../../common/lifecycle/emitter.js';
import type {
	AnswerLine, ConnectionFault, EndpointAnswer, LineConnection, LineWire,
} from '../../common/services/services.js';
import {LineSplitter} from './line-splitter.js';

type Exchange = {
	readonly expected: number;
	readonly answers: EndpointAnswer[];
	readonly settle: (result: Either<ConnectionFault, readonly EndpointAnswer[]>) => void;
};

type PartialAnswer = {
	text: string;
	rows: string[];
	error: EndpointAnswer['error'];
};

const lineEnd = '\r\n';

/** Sends requests and reads their answers line by line; closes together with its socket. */
export class TcpLineConnection implements LineConnection {
	readonly onClose: Event<void>;

	private readonly _socket: Socket;
	private readonly _wire: LineWire;
	private readonly _splitter: LineSplitter;
	private readonly _onClose = new Emitter<void>();
	private _partialAnswer: PartialAnswer = emptyPartialAnswer();
	private _exchange: Exchange | undefined;
	private _closeDetail = 'closed by the endpoint';
	private _isClosed = false;

	private readonly _lineHandlers: HandlersOf<AnswerLine, void, [string]> = {
		row: ({text}, raw) => {
			this._partialAnswer.text += raw + lineEnd;
			this._partialAnswer.rows.push(text);
		},
		complete: (line, raw) => {
			this._partialAnswer.text += raw + lineEnd;
		},
		error: ({error, text}, raw) => {
			this._partialAnswer.text += raw + lineEnd;
			this._partialAnswer.error = {kind: error, text};
		},
		ready: ({status, position}) => {
			const {text, rows, error} = this._partialAnswer;
			this._partialAnswer = emptyPartialAnswer();
			this._addAnswer({
				text, rows, error, status, position,
			});
		},
	};

	constructor(socket: Socket, wire: LineWire) {
		this.onClose = this._onClose.event;
		this._socket = socket;
		this._wire = wire;
		this._splitter = new LineSplitter(wire.maximumLineBytes);
		socket.on('data', chunk => {
			this._onData(chunk);
		});
		socket.on('error', error => {
			this._closeDetail = error.message;
		});
		socket.on('close', () => {
			this._end();
		});
	}

	/** Sends the start-up message; resolves with its answer. */
	async startUp(message: string): Promise<Either<ConnectionFault, EndpointAnswer>> {
		const result = await this.exchange([message]);
		return result.map(([answer]) => answer);
	}

	async exchange(requests: readonly string[]): Promise<Either<ConnectionFault, readonly EndpointAnswer[]>> {
		if (this._isClosed || this._exchange) {
			return Left({kind: 'closed', detail: this._isClosed ? this._closeDetail : 'the connection is in use'});
		}

		return new Promise(settle => {
			this._exchange = {expected: requests.length, answers: [], settle};
			this._socket.write(requests.join(''), 'latin1');
		});
	}

	dispose(): void {
		this._closeDetail = 'closed by this node';
		this._socket.destroy();
		this._end();
	}

	private _onData(chunk: Uint8Array): void {
		try {
			for (const line of this._splitter.push(chunk)) {
				this._onLine(line);
			}
		} catch (error) {
			this._closeDetail = String(error);
			this._socket.destroy();
		}
	}

	private _onLine(raw: string): void {
		dispatch(this._lineHandlers, this._wire.decodeAnswer(raw), raw);
	}

	private _addAnswer(answer: EndpointAnswer): void {
		const exchange = this._exchange;
		if (!exchange) {
			this._closeDetail = 'the endpoint sent an answer without a pending request';
			this._socket.destroy();
			return;
		}

		exchange.answers.push(answer);
		if (exchange.answers.length === exchange.expected) {
			this._exchange = undefined;
			exchange.settle(Right(exchange.answers));
		}
	}

	private _end(): void {
		if (this._isClosed) {
			return;
		}

		this._isClosed = true;
		const exchange = this._exchange;
		this._exchange = undefined;
		// An error line without a READY line before the close holds the endpoint's reason to close.
		const {error} = this._partialAnswer;
		exchange?.settle(Left({kind: 'closed', detail: error ? `${error.kind}: ${error.text}` : this._closeDetail}));
		this._onClose.fire();
		this._onClose.dispose();
	}
}

function emptyPartialAnswer(): PartialAnswer {
	return {text: '', rows: [], error: undefined};
}
