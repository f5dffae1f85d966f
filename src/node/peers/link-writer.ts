/**
 * The sending half of a link: batches the envelopes that are ready in one turn of the event loop
 * into gRPC messages, and stops while the stream's buffer is full.
 */
import type {Envelope} from './generated/quetzalstream/peer.js';
import type {
	BatchStream, Body, EnvelopeSource, PeerOptions,
} from './types.js';

const envelopeOverheadBytes = 64;

/** Batches envelopes and respects the stream's backpressure. */
export class LinkWriter {
	private readonly _options: PeerOptions;
	private _sources: EnvelopeSource[] = [];
	private _stream: BatchStream | undefined;
	private _isFull = false;
	private _isFlushScheduled = false;
	private _sentBatches = 0;

	constructor(options: PeerOptions) {
		this._options = options;
	}

	/** Number of sources in the send queue. */
	get queuedSourceCount(): number {
		return this._sources.length;
	}

	/** Number of batches written to the stream so far. */
	get sentBatches(): number {
		return this._sentBatches;
	}

	/** Starts to send, beginning with what is queued already. */
	start(stream: BatchStream): void {
		this._stream = stream;
		this._scheduleFlush();
	}

	/** Stops permanently and drops what is still queued. */
	stop(): void {
		this._stream = undefined;
		this._sources = [];
	}

	/** To be called when the stream accepts writes again. */
	onDrain(): void {
		this._isFull = false;
		this._scheduleFlush();
	}

	/** Queues one envelope. */
	send(requestId: number, body: Body): void {
		this.add(singleEnvelopeSource({requestId, body}));
	}

	/** Queues a source; the sources send their envelopes in turn. */
	add(source: EnvelopeSource): void {
		this._sources.push(source);
		this._scheduleFlush();
	}

	/** Sends what is queued at once, until the stream's buffer is full. */
	flush(): void {
		while (this._stream && !this._isFull && this._sources.length > 0) {
			this._sendBatch(this._stream);
		}
	}

	private _scheduleFlush(): void {
		if (this._isFlushScheduled || !this._stream || this._isFull) {
			return;
		}

		this._isFlushScheduled = true;
		setImmediate(() => {
			this._isFlushScheduled = false;
			this.flush();
		});
	}

	private _sendBatch(stream: BatchStream): void {
		const envelopes: Envelope[] = [];
		const unfinished: EnvelopeSource[] = [];
		let sizeBytes = 0;
		let taken = 0;
		while (taken < this._sources.length && sizeBytes < this._options.batchBytes) {
			const source = this._sources[taken++];
			const envelope = source.take();
			if (envelope) {
				envelopes.push(envelope);
				sizeBytes += envelopeOverheadBytes + framesLength(envelope.body);
			}

			if (source.hasMore) {
				unfinished.push(source);
			}
		}

		// Sources that have more go to the end of the queue, so that a large answer does not delay small ones.
		this._sources = taken === this._sources.length ? unfinished : [...this._sources.slice(taken), ...unfinished];
		if (envelopes.length > 0) {
			this._sentBatches++;
			this._isFull = !stream.write({envelopes});
		}
	}
}

function singleEnvelopeSource(envelope: Envelope): EnvelopeSource {
	return {hasMore: false, take: () => envelope};
}

function framesLength(body: Envelope['body']): number {
	const value = body?.value;
	return value && 'frames' in value ? value.frames.length : 0;
}
