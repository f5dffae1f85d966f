/**
 * The primary's side of one replication connection: sends a stream over the wire.
 */
import {toDisposable, type Disposable} from '../../../src/common/lifecycle/disposable.js';
import {noop} from '../noop.js';
import type {Instance} from '../instance.js';
import {SqlError} from '../sql/sql-error.js';
import {sqlTypes} from '../sql/sql-types.js';
import type {StreamMessage, StreamSink} from '../types.js';
import {BackendMessageWriter} from './backend-message-writer.js';
import {FrameReader} from './frame-reader.js';
import type {GatedSocket} from './gated-socket.js';
import {MessageReader} from './message-reader.js';
import {decodeRequest, encodeMessage} from './replication-codec.js';

const queryCode = 0x51;

/** Waits for the replication request, then sends each message of the stream as a row. */
export class ReplicationSender implements StreamSink, Disposable {
	private readonly _instance: Instance;
	private readonly _gate: GatedSocket;
	private readonly _reader = new FrameReader();
	private readonly _writer = new BackendMessageWriter();
	private _feed: Disposable = toDisposable(noop);

	private _isFlushPlanned = false;

	constructor(instance: Instance, gate: GatedSocket) {
		this._instance = instance;
		this._gate = gate;
	}

	/** Completes the start-up phase and listens for the request. */
	start(): void {
		this._writer.authenticationOk();
		this._writer.backendKeyData(0, 0);
		this._writer.readyForQuery('I');
		this._flush();
		this._gate.listen(bytes => {
			this._receive(bytes);
		});
	}

	push(message: StreamMessage): void | Promise<void> {
		this._writer.dataRow([encodeMessage(message)]);
		// Entries that are appended in the same turn are sent in one write.
		if (!this._isFlushPlanned) {
			this._isFlushPlanned = true;
			queueMicrotask(() => {
				this._isFlushPlanned = false;
				this._flush();
			});
		}

		return this._gate.isFull ? this._gate.whenWritable() : undefined;
	}

	end(reason: string): void {
		this._writer.error(new SqlError('57P01', reason), 'FATAL');
		this._flush();
		this._gate.end();
	}

	dispose(): void {
		this._feed.dispose();
		this._gate.dispose();
	}

	private _receive(bytes: Uint8Array): void {
		this._reader.add(bytes);
		const frame = this._reader.next();
		const request = frame?.code === queryCode ? decodeRequest(new MessageReader(frame.body).cString()) : undefined;
		if (request) {
			this._gate.peer = request.follower;
			this._writer.rowDescription([{name: 'message', type: sqlTypes.text}]);
			this._feed = this._instance.serve(request, this);
			this._gate.refresh();
		} else if (frame) {
			this.end('expected START_REPLICATION on a replication connection');
		}
	}

	private _flush(): void {
		if (this._writer.sizeBytes > 0) {
			this._gate.write(this._writer.take());
		}
	}
}
