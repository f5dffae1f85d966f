/**
 * The connection of a link over gRPC.
 */
import {Client, connectivityState, credentials} from '@grpc/grpc-js';
import type {Either} from 'purify-ts';
import {Left, Right} from 'purify-ts';
import type {PeerNode} from '../../common/services/services.js';
import {directChannelOptions, directService} from './service-definition.js';
import type {CallStream, LinkTransport} from './types.js';

/** Connects to one peer with gRPC. */
export class GrpcTransport implements LinkTransport {
	private readonly _client: Client;

	constructor({host, port}: PeerNode) {
		this._client = new Client(`${host}:${port}`, credentials.createInsecure(), directChannelOptions);
	}

	async waitUntilConnected(timeoutMs: number): Promise<Either<string, undefined>> {
		if (this._client.getChannel().getConnectivityState(true) === connectivityState.READY) {
			return Right(undefined);
		}

		return new Promise(resolve => {
			this._client.waitForReady(Date.now() + timeoutMs, error => {
				resolve(error ? Left(`no connection: ${error.message}`) : Right(undefined));
			});
		});
	}

	open(): CallStream {
		const {path, requestSerialize, responseDeserialize} = directService.link;
		return this._client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize);
	}

	close(): void {
		// Closing the gRPC client leaves open streams and their sockets open, so the streams are cancelled before.
		this._client.close();
	}
}
