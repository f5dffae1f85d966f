/**
 * A work connection: relays the backend messages of one request cycle at a time without changes.
 * Parameter reports, notifications, fatal errors and ReadyForQuery are not relayed.
 */
import {serialize} from 'pg-protocol';
import {Left, Right, type Either} from 'purify-ts';
import type {Event} from '../../common/lifecycle/emitter.js';
import {zeroPosition, type LogPosition} from '../../common/positions/log-position.js';
import type {
	AnswerSink, EndpointConnection, EndpointFault, ExchangeEnd, TransactionStatus,
} from '../../common/services/services.js';
import {backendTypes, frameHeaderBytes, positionParameter} from './constants.js';
import type {FrameSocket} from './frame-socket.js';
import {
	describeType, frameEnd, readError, readParameter, readPosition,
} from './frames.js';
import {OnceEmitter} from './once-emitter.js';
import {messageOf, ProtocolError} from './protocol-error.js';
import type {StartedSession} from './types.js';

type Exchange = {
	readonly sink: AnswerSink;
	readonly settle: (result: Either<EndpointFault, ExchangeEnd>) => void;
	errorSqlState: string | undefined;
};

/** What to do with a message: relay it, drop it, or end the request cycle. */
type FrameAction = 'relay' | 'drop' | 'ready';

type FrameHandler = (connection: PgEndpointConnection, batch: Uint8Array, bodyStart: number, end: number) => FrameAction;

/** Sends a CancelRequest for a connection, unless `isStillWanted` returns false once it could be sent. */
export type CancelSender = (isStillWanted: () => boolean) => void;

const statuses = new Map<number, TransactionStatus>([
	[0x49, 'idle'],
	[0x54, 'open'],
	[0x45, 'failed'],
]);

/** Handlers by message type; an array, since the lookup is done for every relayed row. */
const handlers: Array<FrameHandler | undefined> = Array.from({length: 256});

/** One work connection to one endpoint. */
export class PgEndpointConnection implements EndpointConnection {
	/** Fires once when the connection has ended; listeners that subscribe later are called as well. */
	readonly onClose: Event<void>;
	private readonly _frames: FrameSocket;
	private readonly _sendCancel: CancelSender;
	private readonly _closing = new OnceEmitter();
	private _position: LogPosition;
	private _exchange: Exchange | undefined;
	private _fatalSqlState: string | undefined;

	constructor(session: StartedSession, sendCancel: CancelSender) {
		this.onClose = this._closing.event;
		this._frames = session.frames;
		this._sendCancel = sendCancel;
		const position = session.parameters.get(positionParameter);
		this._position = position === undefined ? zeroPosition : readPosition(position);
		void this._run();
	}

	/** Latest position that the endpoint reported on this connection. */
	get position(): LogPosition {
		return this._position;
	}

	async exchange(frames: Uint8Array, sink: AnswerSink): Promise<Either<EndpointFault, ExchangeEnd>> {
		if (this._exchange) {
			return Left({mayHaveReached: false, detail: 'another exchange is in progress'});
		}

		if (this._closing.hasFired || !this._frames.isWritable) {
			return Left({mayHaveReached: false, detail: this._frames.closeDetail});
		}

		return new Promise(resolve => {
			this._exchange = {sink, settle: resolve, errorSqlState: undefined};
			this._frames.write(frames);
		});
	}

	cancel(): void {
		const exchange = this._exchange;
		if (exchange) {
			this._sendCancel(() => this._exchange === exchange);
		}
	}

	dispose(): void {
		if (this._exchange) {
			this._frames.destroy('connection closed by this node');
		} else if (this._frames.isWritable) {
			this._frames.end(serialize.end());
		}

		this._finish();
	}

	/** Handles a ParameterStatus; only position reports are used. */
	handleParameter(batch: Uint8Array, bodyStart: number, end: number): void {
		const {name, value} = readParameter(batch, bodyStart, end);
		if (name === positionParameter) {
			this._position = readPosition(value);
		}
	}

	/** Handles an ErrorResponse; a fatal one is not relayed, since the connection ends with it. */
	handleError(batch: Uint8Array, bodyStart: number, end: number): FrameAction {
		const {isFatal, sqlState} = readError(batch, bodyStart, end);
		if (isFatal) {
			this._fatalSqlState ??= sqlState;
			return 'drop';
		}

		if (this._exchange) {
			this._exchange.errorSqlState ??= sqlState;
		}

		return 'relay';
	}

	/** Reads and handles messages until the connection ends. */
	private async _run(): Promise<void> {
		try {
			for (;;) {
				const batch = await this._frames.read();
				if (!batch) {
					break;
				}

				await this._handleBatch(batch);
			}
		} catch (error) {
			this._frames.destroy(messageOf(error));
		}

		this._finish();
	}

	private async _handleBatch(batch: Uint8Array): Promise<void> {
		let runStart = 0;
		let offset = 0;
		while (offset < batch.length) {
			const end = frameEnd(batch, offset);
			const action = this._actionFor(batch, offset, end);
			if (action !== 'relay') {
				const pushing = this._push(batch, runStart, offset);
				if (pushing) {
					await pushing;
				}

				runStart = end;
			}

			if (action === 'ready') {
				this._endExchange(batch[offset + frameHeaderBytes]);
			}

			offset = end;
		}

		await this._push(batch, runStart, batch.length);
	}

	private _actionFor(batch: Uint8Array, offset: number, end: number): FrameAction {
		const type = batch[offset];
		const handler = handlers[type];
		const action = handler?.(this, batch, offset + frameHeaderBytes, end);
		if (!action) {
			throw new ProtocolError(`${describeType(type)} is not expected here`);
		}

		if (action !== 'drop' && !this._exchange && type !== backendTypes.noticeResponse) {
			throw new ProtocolError(`${describeType(type)} outside of an exchange`);
		}

		return action;
	}

	private _push(batch: Uint8Array, start: number, end: number): void | Promise<void> {
		if (start < end) {
			return this._exchange?.sink.push(batch.subarray(start, end));
		}
	}

	private _endExchange(statusByte: number): void {
		const transactionStatus = statuses.get(statusByte);
		if (!transactionStatus) {
			throw new ProtocolError('transaction status is malformed');
		}

		const exchange = this._exchange;
		this._exchange = undefined;
		exchange?.settle(Right({
			transactionStatus,
			position: this._position,
			...(exchange.errorSqlState !== undefined && {errorSqlState: exchange.errorSqlState}),
		}));
	}

	private _finish(): void {
		if (this._closing.hasFired) {
			return;
		}

		const exchange = this._exchange;
		this._exchange = undefined;
		exchange?.settle(Left({
			mayHaveReached: true,
			detail: this._frames.closeDetail,
			...(this._fatalSqlState !== undefined && {sqlState: this._fatalSqlState}),
		}));
		this._closing.fire();
	}
}

const relayed = [
	backendTypes.bindComplete,
	backendTypes.closeComplete,
	backendTypes.commandComplete,
	backendTypes.copyData,
	backendTypes.copyDone,
	backendTypes.copyOutResponse,
	backendTypes.dataRow,
	backendTypes.emptyQueryResponse,
	backendTypes.functionCallResponse,
	backendTypes.noData,
	backendTypes.noticeResponse,
	backendTypes.parameterDescription,
	backendTypes.parseComplete,
	backendTypes.portalSuspended,
	backendTypes.rowDescription,
];
for (const type of relayed) {
	handlers[type] = () => 'relay';
}

handlers[backendTypes.notificationResponse] = () => 'drop';
handlers[backendTypes.parameterStatus] = (connection, batch, bodyStart, end) => {
	connection.handleParameter(batch, bodyStart, end);
	return 'drop';
};

handlers[backendTypes.errorResponse] = (connection, batch, bodyStart, end) => connection.handleError(batch, bodyStart, end);
handlers[backendTypes.readyForQuery] = () => 'ready';
