/**
 * The gRPC stream of a link on the requesting side, with a connection of its own.
 */
import {Client, type ClientDuplexStream} from '@grpc/grpc-js';
import type {Host} from '../../common/services/services.js';
import type {Batch} from './generated/quetzalstream/peer.js';
import {
	channelOptions, clientCredentials, deserializeBatch, linkPath, serializeBatch,
} from './link-definition.js';
import type {BatchStream, PeerOptions, PeerTls} from './types.js';

function ignore(): void {
	// Deliberately empty.
}

/** One stream to one peer. */
export class PeerStream implements BatchStream {
	private readonly _client: Client;
	private readonly _stream: ClientDuplexStream<Batch, Batch>;

	constructor(peer: Host, options: PeerOptions, tls: PeerTls | undefined) {
		const address = peer.peerHost.includes(':') ? `[${peer.peerHost}]` : peer.peerHost;
		this._client = new Client(`${address}:${peer.peerPort}`, clientCredentials(tls), channelOptions(options, tls));
		this._stream = this._client.makeBidiStreamRequest(linkPath, serializeBatch, deserializeBatch);
		// The reader of `batches` gets the errors. This listener only keeps errors after the last read from being
		// thrown as unhandled.
		this._stream.on('error', ignore);
	}

	write(batch: Batch): boolean {
		return this._stream.write(batch);
	}

	/** Calls the listener whenever the stream accepts writes again after its buffer was full. */
	onDrain(listener: () => void): void {
		this._stream.on('drain', listener);
	}

	/** Yields the received batches until the peer ends the stream; throws if the stream is lost. */
	batches(): AsyncIterable<Batch> {
		return this._stream;
	}

	/** Closes the stream and its connection: in order, after pending writes, or by cancelling the stream at once. */
	close(isInOrder: boolean): void {
		if (isInOrder) {
			this._stream.end();
		} else {
			this._stream.cancel();
		}

		this._client.close();
	}
}
