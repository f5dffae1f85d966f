/**
 * The follower's side of replication: keeps a stream from a primary open, and opens a new one when it ends.
 */
import type {Disposable} from '../../src/common/lifecycle/disposable.js';
import type {Clock} from '../../src/common/services/services.js';
import type {
	InstanceOptions, PrimaryAddress, ReplicationConnector, StreamMessage, StreamRequest,
} from './types.js';

/** What a link needs of its instance, and reports to it. */
export type ReplicationLinkListener = {
	/** Creates the request for a stream from the current end of the log. */
	request(): StreamRequest;
	receive(message: StreamMessage): void;
	/** Called when the stream becomes live or stops being so. */
	onStreamingChange(isStreaming: boolean): void;
};

/** The primary and the term that a link follows, with its timeouts. */
export type ReplicationLinkOptions = {
	readonly term: number;
	readonly primary: PrimaryAddress;
	readonly timing: Pick<InstanceOptions, 'streamRetryMs' | 'streamSilenceMs'>;
};

/** A link lasts until it is disposed, and has at most one stream at a time. */
export class ReplicationLink implements Disposable {
	readonly term: number;
	readonly primary: PrimaryAddress;
	private readonly _connector: ReplicationConnector;
	private readonly _listener: ReplicationLinkListener;
	private readonly _clock: Clock;
	private readonly _timing: ReplicationLinkOptions['timing'];
	private _stream: Disposable | undefined;
	private _timer: Disposable | undefined;
	private _streamNumber = 0;
	private _lastReceivedMs = 0;
	private _isStreaming = false;
	private _isDisposed = false;

	constructor(target: ReplicationLinkOptions, connector: ReplicationConnector, listener: ReplicationLinkListener, clock: Clock) {
		this.term = target.term;
		this.primary = target.primary;
		this._connector = connector;
		this._listener = listener;
		this._clock = clock;
		this._timing = target.timing;
	}

	/** Whether the current stream has started and has not been silent for too long. */
	get isStreaming(): boolean {
		return this._isStreaming;
	}

	/** Opens a stream. */
	open(): void {
		this._streamNumber += 1;
		const number = this._streamNumber;
		this._lastReceivedMs = this._clock.nowMs();
		this._stream = this._connector.connect(this.primary, this._listener.request(), {
			receive: message => {
				this._receive(number, message);
			},
			onEnd: () => {
				this._onEnd(number);
			},
		});
		if (number === this._streamNumber && !this._isDisposed) {
			this._watchForSilence();
		}
	}

	dispose(): void {
		this._isDisposed = true;
		this._streamNumber += 1;
		this._timer?.dispose();
		this._stream?.dispose();
		this._isStreaming = false;
	}

	private _receive(number: number, message: StreamMessage): void {
		if (number !== this._streamNumber || message.term !== this.term) {
			return;
		}

		this._lastReceivedMs = this._clock.nowMs();
		if (message.kind !== 'alive') {
			this._listener.receive(message);
		}

		if (message.kind === 'start' && number === this._streamNumber) {
			this._setStreaming(true);
		}
	}

	private _onEnd(number: number): void {
		if (number !== this._streamNumber || this._isDisposed) {
			return;
		}

		this._streamNumber += 1;
		this._timer?.dispose();
		this._stream?.dispose();
		this._setStreaming(false);
		this._timer = this._clock.setTimer(this._timing.streamRetryMs, () => {
			this.open();
		});
	}

	/** Checks for silence at intervals, which is cheaper than setting a timer for each message. */
	private _watchForSilence(): void {
		const number = this._streamNumber;
		this._timer = this._clock.setTimer(this._timing.streamSilenceMs / 4, () => {
			if (this._clock.nowMs() - this._lastReceivedMs >= this._timing.streamSilenceMs) {
				this._onEnd(number);
			} else {
				this._watchForSilence();
			}
		});
	}

	private _setStreaming(isStreaming: boolean): void {
		if (this._isStreaming !== isStreaming) {
			this._isStreaming = isStreaming;
			this._listener.onStreamingChange(isStreaming);
		}
	}
}
