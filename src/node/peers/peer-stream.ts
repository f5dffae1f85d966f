/**
 * The gRPC stream of a link as the asking side sees it, with a connection of its own.
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
		// Who reads the batches hears of errors; this listener only keeps late ones from being thrown.
		this._stream.on('error', ignore);
	}

	write(batch: Batch): boolean {
		return this._stream.write(batch);
	}

	/** Calls back whenever the stream can take more after it was full. */
	onDrain(listener: () => void): void {
		this._stream.on('drain', listener);
	}

	/** What arrives, until the peer ends the stream; throws when the stream is lost. */
	batches(): AsyncIterable<Batch> {
		return this._stream;
	}

	/** Ends the stream and its connection: in order, or at once. */
	close(isInOrder: boolean): void {
		if (isInOrder) {
			this._stream.end();
		} else {
			this._stream.cancel();
		}

		this._client.close();
	}
}
